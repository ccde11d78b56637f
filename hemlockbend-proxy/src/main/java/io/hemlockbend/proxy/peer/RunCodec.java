package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpField;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack encoding of run requests and their outcomes. */
final class RunCodec {
  private static final int ANSWERED = 1;
  private static final int NOT_RUN = 2;
  private static final int LOST = 3;

  private RunCodec() {}

  static void writeRequest(MessageBufferPacker packer, RunRequest run) throws IOException {
    packer.packString(run.id()).packString(run.route());
    packer.packString(run.version().service().value());
    packer.packString(run.version().version().value());
    packer.packString(run.upstream().value());
    packer.packInt(run.priority()).packBoolean(run.idempotent());
    packer.packLong(run.targetMillis()).packLong(run.remainingMillis());
    packer.packString(run.http().method()).packString(run.http().target());
    writeFields(packer, run.http().fields());
    writeBytes(packer, run.http().body());
    packer.packBoolean(run.repeat());
  }

  static RunRequest readRequest(MessageUnpacker unpacker) throws IOException {
    String id = unpacker.unpackString();
    String route = unpacker.unpackString();
    ServiceName service = new ServiceName(unpacker.unpackString());
    VersionKey version = new VersionKey(service, new VersionName(unpacker.unpackString()));
    UpstreamId upstream = new UpstreamId(unpacker.unpackString());
    int priority = unpacker.unpackInt();
    boolean idempotent = unpacker.unpackBoolean();
    long targetMillis = unpacker.unpackLong();
    long remainingMillis = unpacker.unpackLong();
    String method = unpacker.unpackString();
    String target = unpacker.unpackString();
    List<HttpField> fields = readFields(unpacker);
    HttpRequest http = new HttpRequest(method, target, fields, readBytes(unpacker));
    // Nodes of earlier versions do not send it.
    boolean repeat = unpacker.hasNext() && unpacker.unpackBoolean();
    return new RunRequest(
        id,
        route,
        version,
        upstream,
        priority,
        idempotent,
        targetMillis,
        remainingMillis,
        repeat,
        http);
  }

  static void writeEnd(MessageBufferPacker packer, RunEnd end) throws IOException {
    switch (end) {
      case RunEnd.Answered answered -> {
        packer.packInt(ANSWERED).packInt(answered.reply().status());
        writeFields(packer, answered.reply().fields());
        writeBytes(packer, answered.reply().body());
        packer.packLong(answered.serviceMillis());
      }
      case RunEnd.NotRun notRun ->
          packer.packInt(NOT_RUN).packString(notRun.reason()).packBoolean(notRun.reachedUpstream());
      case RunEnd.Lost lost -> packer.packInt(LOST).packString(lost.reason());
    }
  }

  static RunEnd readEnd(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case ANSWERED -> {
        int status = unpacker.unpackInt();
        List<HttpField> fields = readFields(unpacker);
        HttpReply reply = new HttpReply(status, fields, readBytes(unpacker));
        yield new RunEnd.Answered(reply, unpacker.unpackLong());
      }
      case NOT_RUN -> new RunEnd.NotRun(unpacker.unpackString(), unpacker.unpackBoolean());
      case LOST -> new RunEnd.Lost(unpacker.unpackString());
      default -> throw new PeerException("unknown outcome type " + type, null);
    };
  }

  private static void writeFields(MessageBufferPacker packer, List<HttpField> fields)
      throws IOException {
    packer.packArrayHeader(fields.size());
    for (HttpField field : fields) {
      packer.packString(field.getName());
      packer.packString(field.getValue() == null ? "" : field.getValue());
    }
  }

  private static List<HttpField> readFields(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<HttpField> fields = new ArrayList<>(count + 2);
    for (int i = 0; i < count; i++) {
      fields.add(new HttpField(unpacker.unpackString(), unpacker.unpackString()));
    }
    return fields;
  }

  private static void writeBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length);
    packer.addPayload(bytes);
  }

  private static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
    return unpacker.readPayload(unpacker.unpackBinaryHeader());
  }
}
