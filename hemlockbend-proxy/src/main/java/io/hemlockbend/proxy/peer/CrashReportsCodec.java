package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack encoding of crash reports. */
final class CrashReportsCodec {
  private CrashReportsCodec() {}

  static void write(MessageBufferPacker packer, List<Suspicion> reports) throws IOException {
    packer.packArrayHeader(reports.size());
    for (Suspicion report : reports) {
      packer.packString(report.request().value()).packLong(report.untilMillis());
      packer.packArrayHeader(report.upstreams().size());
      for (UpstreamId upstream : report.upstreams()) {
        packer.packString(upstream.value());
      }
    }
  }

  static List<Suspicion> read(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<Suspicion> reports = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      RequestId request = new RequestId(unpacker.unpackString());
      long untilMillis = unpacker.unpackLong();
      int crashes = unpacker.unpackArrayHeader();
      List<UpstreamId> upstreams = new ArrayList<>(crashes);
      for (int j = 0; j < crashes; j++) {
        upstreams.add(new UpstreamId(unpacker.unpackString()));
      }
      reports.add(new Suspicion(request, upstreams, untilMillis));
    }
    return reports;
  }
}
