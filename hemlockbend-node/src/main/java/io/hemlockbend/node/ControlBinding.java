package io.hemlockbend.node;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.node.control.ControlLoop;
import java.util.function.Consumer;

/** Forwards messages to the control loop; drops those that arrive before the loop is bound. */
final class ControlBinding implements Consumer<PeerMessage> {
  private volatile ControlLoop loop;

  void bind(ControlLoop controlLoop) {
    loop = controlLoop;
  }

  @Override
  public void accept(PeerMessage message) {
    ControlLoop bound = loop;
    if (bound != null) {
      bound.receive(message);
    }
  }
}
