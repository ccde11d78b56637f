package io.hemlockbend.proxy;

/** Records decisions and other events for the log; must not block. */
@FunctionalInterface
public interface DecisionSink {
  /** Discards all events. */
  DecisionSink NONE = (event, request, details) -> {};

  /**
   * Records an event.
   *
   * @param event the name of the event, in lower case with hyphens
   * @param request the id of the request that it concerns, or null
   * @param details alternating names and values: the inputs, their age or version, the outcome
   */
  void emit(String event, String request, Object... details);
}
