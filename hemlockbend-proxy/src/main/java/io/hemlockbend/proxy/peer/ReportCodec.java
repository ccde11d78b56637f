package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.core.traffic.UpstreamRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack encoding of node reports. */
final class ReportCodec {
  private ReportCodec() {}

  static void write(MessageBufferPacker packer, NodeReport report) throws IOException {
    packer.packString(report.node().value());
    packer.packLong(report.configurationVersion());
    OrdersCodec.writeVersion(packer, report.ordersVersion());
    packer.packInt(report.carriedOrders());
    packer.packBoolean(report.leaving()).packBoolean(report.storeReachable());
    packer.packBoolean(report.upstream() != null);
    if (report.upstream() != null) {
      writeRecord(packer, report.upstream());
    }
    writeLoad(packer, report.load());
    packer.packArrayHeader(report.routeCounts().size());
    for (RouteCounts counts : report.routeCounts()) {
      packer.packString(counts.route().value()).packLong(counts.calls());
      packer.packLong(counts.failures()).packLong(counts.errors());
      packer.packDouble(counts.totalMillis());
    }
    packer.packArrayHeader(report.moves().size());
    for (MoveShare move : report.moves()) {
      packer.packString(move.service().value()).packString(move.to().value());
      OrdersCodec.writeVersion(packer, move.order());
      packer.packLong(move.step()).packInt(move.permille());
      packer.packLong(move.elapsedMillis()).packInt(move.state().ordinal());
      packer.packString(move.onlyUpstream().map(UpstreamId::value).orElse(""));
    }
  }

  static NodeReport read(MessageUnpacker unpacker) throws IOException {
    NodeId node = new NodeId(unpacker.unpackString());
    long version = unpacker.unpackLong();
    StoreVersion ordersVersion = OrdersCodec.readVersion(unpacker);
    int carriedOrders = unpacker.unpackInt();
    boolean leaving = unpacker.unpackBoolean();
    boolean storeReachable = unpacker.unpackBoolean();
    UpstreamRecord record = unpacker.unpackBoolean() ? readRecord(unpacker) : null;
    UpstreamLoad load = readLoad(unpacker);
    int countsSize = unpacker.unpackArrayHeader();
    List<RouteCounts> counts = new ArrayList<>(countsSize);
    for (int i = 0; i < countsSize; i++) {
      RouteName route = new RouteName(unpacker.unpackString());
      long calls = unpacker.unpackLong();
      long failures = unpacker.unpackLong();
      long errors = unpacker.unpackLong();
      counts.add(new RouteCounts(route, calls, failures, errors, unpacker.unpackDouble()));
    }
    int movesSize = unpacker.unpackArrayHeader();
    List<MoveShare> moves = new ArrayList<>(movesSize);
    for (int i = 0; i < movesSize; i++) {
      ServiceName service = new ServiceName(unpacker.unpackString());
      VersionName to = new VersionName(unpacker.unpackString());
      StoreVersion order = OrdersCodec.readVersion(unpacker);
      long step = unpacker.unpackLong();
      int permille = unpacker.unpackInt();
      long elapsedMillis = unpacker.unpackLong();
      MoveOrder.State state = MoveOrder.State.values()[unpacker.unpackInt()];
      String only = unpacker.unpackString();
      Optional<UpstreamId> onlyUpstream =
          only.isEmpty() ? Optional.empty() : Optional.of(new UpstreamId(only));
      moves.add(
          new MoveShare(service, to, order, step, permille, onlyUpstream, elapsedMillis, state));
    }
    return new NodeReport(
        node,
        version,
        ordersVersion,
        carriedOrders,
        leaving,
        storeReachable,
        record,
        load,
        counts,
        moves);
  }

  static void writeLoad(MessageBufferPacker packer, UpstreamLoad load) throws IOException {
    packer.packInt(load.running()).packInt(load.queued());
    packer.packInt(load.queuedAmple()).packInt(load.queuedLate()).packInt(load.limit());
    packer.packDouble(load.serviceMillis()).packDouble(load.failureRate());
    packer.packInt(load.bodyWaitMillis()).packInt(load.bodyBytesPerMilli());
  }

  static UpstreamLoad readLoad(MessageUnpacker unpacker) throws IOException {
    int running = unpacker.unpackInt();
    int queued = unpacker.unpackInt();
    int queuedAmple = unpacker.unpackInt();
    int queuedLate = unpacker.unpackInt();
    int limit = unpacker.unpackInt();
    double serviceMillis = unpacker.unpackDouble();
    double failureRate = unpacker.unpackDouble();
    int bodyWaitMillis = unpacker.unpackInt();
    return new UpstreamLoad(
        running,
        queued,
        queuedAmple,
        queuedLate,
        limit,
        serviceMillis,
        failureRate,
        bodyWaitMillis,
        unpacker.unpackInt());
  }

  private static void writeRecord(MessageBufferPacker packer, UpstreamRecord record)
      throws IOException {
    packer.packString(record.id().value()).packLong(record.startedMillis());
    packer.packString(record.service().value()).packString(record.version().value());
    packer.packString(record.domain().value()).packString(record.address());
    packer.packInt(record.slots()).packBoolean(record.draining());
    packer.packLong(record.coldMillis()).packLong(record.sequence());
  }

  private static UpstreamRecord readRecord(MessageUnpacker unpacker) throws IOException {
    UpstreamId id = new UpstreamId(unpacker.unpackString());
    long startedMillis = unpacker.unpackLong();
    ServiceName service = new ServiceName(unpacker.unpackString());
    VersionName version = new VersionName(unpacker.unpackString());
    FailureDomain domain = new FailureDomain(unpacker.unpackString());
    String address = unpacker.unpackString();
    int slots = unpacker.unpackInt();
    boolean draining = unpacker.unpackBoolean();
    long coldMillis = unpacker.unpackLong();
    return new UpstreamRecord(
        id,
        startedMillis,
        service,
        version,
        domain,
        address,
        slots,
        draining,
        coldMillis,
        unpacker.unpackLong());
  }
}
