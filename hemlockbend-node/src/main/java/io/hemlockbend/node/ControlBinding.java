package io.hemlockbend.node;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.node.control.ControlLoop;
import java.util.function.Consumer;

/** Hands messages to the control loop, which is made after the listener; drops those before. */
final class ControlBinding implements Consumer<PeerMessage> {
  private volatile ControlLoop loop;

  void bind(ControlLoop made) {
    loop = made;
  }

  @Override
  public void accept(PeerMessage message) {
    ControlLoop bound = loop;
    if (bound != null) {
      bound.receive(message);
    }
  }
}
