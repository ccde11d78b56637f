package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.proxy.peer.NodeMessage.BodyChunk;
import io.hemlockbend.proxy.peer.NodeMessage.BodyCredit;
import io.hemlockbend.proxy.peer.NodeMessage.Cancel;
import io.hemlockbend.proxy.peer.NodeMessage.Configuration;
import io.hemlockbend.proxy.peer.NodeMessage.CrashReports;
import io.hemlockbend.proxy.peer.NodeMessage.Ended;
import io.hemlockbend.proxy.peer.NodeMessage.Fetch;
import io.hemlockbend.proxy.peer.NodeMessage.Hello;
import io.hemlockbend.proxy.peer.NodeMessage.NodeList;
import io.hemlockbend.proxy.peer.NodeMessage.NodesRequest;
import io.hemlockbend.proxy.peer.NodeMessage.Orders;
import io.hemlockbend.proxy.peer.NodeMessage.Ping;
import io.hemlockbend.proxy.peer.NodeMessage.Report;
import io.hemlockbend.proxy.peer.NodeMessage.Run;
import io.hemlockbend.proxy.peer.NodeMessage.Silence;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** MessagePack encoding of messages: a type number, then the fields in a fixed order. */
final class NodeMessageCodec {
  private static final int HELLO = 1;
  private static final int REPORT = 2;
  private static final int RUN = 3;
  private static final int ENDED = 4;
  private static final int CANCEL = 5;
  private static final int CONFIGURATION = 6;
  private static final int PING = 7;
  private static final int FETCH = 8;
  private static final int ORDERS = 9;
  private static final int CRASH_REPORTS = 10;
  private static final int BODY_CREDIT = 11;
  private static final int BODY_CHUNK = 12;
  private static final int NODES_REQUEST = 13;
  private static final int NODE_LIST = 14;
  private static final int SILENCE = 15;

  private NodeMessageCodec() {}

  /**
   * Returns the frame of a message: the length as a big-endian 32-bit integer, then the encoding.
   */
  static ByteBuffer frame(NodeMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, message);
      byte[] body = packer.toByteArray();
      ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + body.length);
      return frame.putInt(body.length).put(body).flip();
    } catch (IOException e) {
      throw new PeerException("cannot encode " + message.getClass().getSimpleName(), e);
    }
  }

  /**
   * Decodes a message from a frame without its length prefix.
   *
   * @throws PeerException when the message is malformed
   */
  static NodeMessage read(byte[] body) {
    try (MessageUnpacker unpacker = new FrameUnpacker(body)) {
      return readMessage(unpacker);
    } catch (IOException | RuntimeException e) {
      throw new PeerException("malformed message of " + body.length + " bytes", e);
    }
  }

  private static void write(MessageBufferPacker packer, NodeMessage message) throws IOException {
    switch (message) {
      case Hello hello -> {
        packer.packInt(HELLO);
        writeNode(packer, hello.sender());
        packer.packInt(hello.knownNodes());
      }
      case NodesRequest ignored -> packer.packInt(NODES_REQUEST);
      case NodeList nodes -> {
        packer.packInt(NODE_LIST).packArrayHeader(nodes.nodes().size());
        for (NodeInfo node : nodes.nodes()) {
          writeNode(packer, node);
        }
      }
      case Report report -> {
        packer.packInt(REPORT).packLong(report.pingMillis());
        ReportCodec.write(packer, report.report());
      }
      case Run run -> {
        packer.packInt(RUN).packLong(run.stream()).packInt(run.offeredBytes());
        RunCodec.writeRequest(packer, run.request());
      }
      case Ended ended -> {
        packer.packInt(ENDED).packLong(ended.stream());
        RunCodec.writeEnd(packer, ended.end());
        ReportCodec.writeLoad(packer, ended.load());
      }
      case BodyCredit credit ->
          packer.packInt(BODY_CREDIT).packLong(credit.stream()).packInt(credit.untilBytes());
      case BodyChunk chunk -> {
        ByteBuffer bytes = chunk.bytes();
        packer.packInt(BODY_CHUNK).packLong(chunk.stream()).packBinaryHeader(bytes.remaining());
        packer.addPayload(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
      }
      case Cancel cancel -> packer.packInt(CANCEL).packLong(cancel.stream());
      case Configuration configuration -> {
        packer.packInt(CONFIGURATION).packLong(configuration.version());
        packer.packBinaryHeader(configuration.compressed().length);
        packer.writePayload(configuration.compressed());
      }
      case Ping ping -> {
        packer.packInt(PING).packLong(ping.sentMillis());
        ReportCodec.write(packer, ping.report());
      }
      case Silence silence -> packer.packInt(SILENCE).packString(silence.node().value());
      case Fetch fetch -> {
        packer.packInt(FETCH).packLong(fetch.configurationVersion());
        OrdersCodec.writeVersion(packer, fetch.ordersVersion());
        packer.packInt(fetch.carriedOrders());
      }
      case Orders orders -> {
        packer.packInt(ORDERS);
        OrdersCodec.writeMessage(packer, orders);
      }
      case CrashReports crashes -> {
        packer.packInt(CRASH_REPORTS);
        CrashReportsCodec.write(packer, crashes.reports());
      }
    }
  }

  private static NodeMessage readMessage(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case HELLO -> new Hello(readNode(unpacker), unpacker.unpackInt());
      case NODES_REQUEST -> new NodesRequest();
      case NODE_LIST -> {
        int count = unpacker.unpackArrayHeader();
        List<NodeInfo> known = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
          known.add(readNode(unpacker));
        }
        yield new NodeList(known);
      }
      case REPORT -> new Report(unpacker.unpackLong(), ReportCodec.read(unpacker));
      case RUN -> {
        long stream = unpacker.unpackLong();
        int offeredBytes = unpacker.unpackInt();
        yield new Run(stream, RunCodec.readRequest(unpacker), offeredBytes);
      }
      case BODY_CREDIT -> new BodyCredit(unpacker.unpackLong(), unpacker.unpackInt());
      case BODY_CHUNK -> {
        long stream = unpacker.unpackLong();
        byte[] bytes = unpacker.readPayload(unpacker.unpackBinaryHeader());
        yield new BodyChunk(stream, ByteBuffer.wrap(bytes));
      }
      case ENDED -> {
        long stream = unpacker.unpackLong();
        RunEnd end = RunCodec.readEnd(unpacker);
        yield new Ended(stream, end, ReportCodec.readLoad(unpacker));
      }
      case CANCEL -> new Cancel(unpacker.unpackLong());
      case CONFIGURATION -> {
        long version = unpacker.unpackLong();
        yield new Configuration(version, unpacker.readPayload(unpacker.unpackBinaryHeader()));
      }
      case PING -> new Ping(unpacker.unpackLong(), ReportCodec.read(unpacker));
      case SILENCE -> new Silence(new NodeId(unpacker.unpackString()));
      case FETCH -> {
        long configurationVersion = unpacker.unpackLong();
        StoreVersion ordersVersion = OrdersCodec.readVersion(unpacker);
        yield new Fetch(configurationVersion, ordersVersion, unpacker.unpackInt());
      }
      case ORDERS -> OrdersCodec.readMessage(unpacker);
      case CRASH_REPORTS -> new CrashReports(CrashReportsCodec.read(unpacker));
      default -> throw new PeerException("unknown message type " + type, null);
    };
  }

  private static void writeNode(MessageBufferPacker packer, NodeInfo node) throws IOException {
    packer.packString(node.node().value()).packString(node.ip()).packInt(node.port());
    packer.packString(node.domain().value()).packLong(node.startedMillis());
  }

  private static NodeInfo readNode(MessageUnpacker unpacker) throws IOException {
    NodeId node = new NodeId(unpacker.unpackString());
    String ip = unpacker.unpackString();
    int port = unpacker.unpackInt();
    FailureDomain domain = new FailureDomain(unpacker.unpackString());
    return new NodeInfo(node, ip, port, domain, unpacker.unpackLong());
  }
}
