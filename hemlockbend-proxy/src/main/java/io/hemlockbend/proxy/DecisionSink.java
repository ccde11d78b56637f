package io.hemlockbend.proxy;

/** Takes note of decisions, for the log; must not block. */
@FunctionalInterface
public interface DecisionSink {
  /** Takes note of nothing. */
  DecisionSink NONE = (event, request, details) -> {};

  /**
   * Takes note of a decision.
   *
   * @param event what was decided, one word
   * @param request the id of the request that it touches, or null
   * @param details names and values by turns: the inputs, their age or version, the outcome
   */
  void decided(String event, String request, Object... details);
}
