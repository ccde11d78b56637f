package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack encoding of the operator's orders. */
final class OrdersCodec {
  private OrdersCodec() {}

  static void writeMessage(MessageBufferPacker packer, NodeMessage.Orders message)
      throws IOException {
    write(packer, message.read());
    write(packer, message.carried());
    packer.packLong(message.carriedMillis());
  }

  static NodeMessage.Orders readMessage(MessageUnpacker unpacker) throws IOException {
    OperatorOrders read = read(unpacker);
    return new NodeMessage.Orders(read, read(unpacker), unpacker.unpackLong());
  }

  private static void write(MessageBufferPacker packer, OperatorOrders orders) throws IOException {
    writeVersion(packer, orders.version());
    packer.packArrayHeader(orders.withdrawn().size());
    for (FailureDomain domain : orders.withdrawn()) {
      packer.packString(domain.value());
    }
    packer.packArrayHeader(orders.moves().size());
    for (MoveOrder move : orders.moves()) {
      packer.packString(move.service().value()).packString(move.to().value());
      writeVersion(packer, move.order());
      packer.packLong(move.durationMillis());
      packer.packInt(move.state().ordinal());
    }
    packer.packArrayHeader(orders.takenBack().size());
    for (VersionKey version : orders.takenBack()) {
      packer.packString(version.service().value()).packString(version.version().value());
    }
  }

  static void writeVersion(MessageBufferPacker packer, StoreVersion version) throws IOException {
    packer.packLong(version.era()).packLong(version.number());
  }

  static StoreVersion readVersion(MessageUnpacker unpacker) throws IOException {
    return new StoreVersion(unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static OperatorOrders read(MessageUnpacker unpacker) throws IOException {
    StoreVersion version = readVersion(unpacker);
    int domainCount = unpacker.unpackArrayHeader();
    Set<FailureDomain> withdrawn = new HashSet<>();
    for (int i = 0; i < domainCount; i++) {
      withdrawn.add(new FailureDomain(unpacker.unpackString()));
    }
    int moveCount = unpacker.unpackArrayHeader();
    List<MoveOrder> moves = new ArrayList<>(moveCount);
    for (int i = 0; i < moveCount; i++) {
      ServiceName service = new ServiceName(unpacker.unpackString());
      VersionName to = new VersionName(unpacker.unpackString());
      StoreVersion order = readVersion(unpacker);
      long duration = unpacker.unpackLong();
      MoveOrder.State state = MoveOrder.State.values()[unpacker.unpackInt()];
      moves.add(new MoveOrder(service, to, order, duration, state));
    }
    int takenBackCount = unpacker.unpackArrayHeader();
    Set<VersionKey> takenBack = new HashSet<>();
    for (int i = 0; i < takenBackCount; i++) {
      ServiceName service = new ServiceName(unpacker.unpackString());
      takenBack.add(new VersionKey(service, new VersionName(unpacker.unpackString())));
    }
    return new OperatorOrders(version, withdrawn, moves, takenBack);
  }
}
