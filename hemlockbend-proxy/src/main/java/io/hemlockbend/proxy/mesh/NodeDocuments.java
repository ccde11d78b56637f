package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.traffic.TrafficConfiguration;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.peer.Compression;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.OperatorOrders;
import io.hemlockbend.proxy.peer.PeerException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** The operator's configuration and orders that a node has in force and sends to others. */
final class NodeDocuments {
  /** Where a document came from. */
  enum Source {
    STORE,
    PEER
  }

  private final Function<byte[], TrafficConfiguration> decoder;
  private final DecisionSink sink;
  private TrafficConfiguration configuration;
  private byte[] document;
  private NodeMessage.Configuration compressedDocument;
  private OperatorOrders orders = OperatorOrders.NONE;

  /**
   * Creates a node's documents, of which there are none yet.
   *
   * @param decoder decodes a configuration document; throws if the document is invalid
   * @param sink logs decisions
   */
  NodeDocuments(Function<byte[], TrafficConfiguration> decoder, DecisionSink sink) {
    this.decoder = decoder;
    this.sink = sink;
  }

  /** Returns the configuration in force, or null before the first one. */
  TrafficConfiguration configuration() {
    return configuration;
  }

  /** Returns the version of the configuration in force; -1 without one. */
  long configurationVersion() {
    return configuration == null ? -1 : configuration.version();
  }

  /** Returns the orders in force. */
  OperatorOrders orders() {
    return orders;
  }

  /** Puts a configuration in force if it is valid and newer; returns whether it did. */
  boolean apply(byte[] bytes, Source source) {
    TrafficConfiguration decoded;
    try {
      decoded = decoder.apply(bytes);
    } catch (RuntimeException e) {
      sink.emit("configuration-rejected", null, "why", String.valueOf(e.getMessage()));
      return false;
    }
    if (configuration != null && decoded.version() <= configuration.version()) {
      return false;
    }
    configuration = decoded;
    document = bytes;
    compressedDocument = null;
    sink.emit(
        "configuration",
        null,
        "version",
        decoded.version(),
        "routes",
        decoded.routes().size(),
        "source",
        source);
    return true;
  }

  /** As {@link #apply(byte[], Source)}, for a configuration of another node. */
  boolean apply(NodeMessage.Configuration message) {
    byte[] bytes;
    try {
      bytes = Compression.decompress(message.compressed());
    } catch (PeerException e) {
      sink.emit("configuration-rejected", null, "why", String.valueOf(e.getMessage()));
      return false;
    }
    return apply(bytes, Source.PEER);
  }

  /** Puts orders in force if they are newer; returns whether it did. */
  boolean apply(OperatorOrders updated, Source source) {
    if (updated.version() <= orders.version()) {
      return false;
    }
    orders = updated;
    sink.emit(
        "orders",
        null,
        "version",
        updated.version(),
        "source",
        source,
        "withdrawn",
        updated.withdrawn(),
        "moves",
        updated.moves());
    return true;
  }

  /** Returns the documents that are newer than those of a node that asks for them. */
  List<NodeMessage> newerThan(NodeMessage.Fetch fetch) {
    List<NodeMessage> all = new ArrayList<>();
    if (configurationVersion() > fetch.configurationVersion()) {
      if (compressedDocument == null) {
        compressedDocument =
            new NodeMessage.Configuration(configuration.version(), Compression.compress(document));
      }
      all.add(compressedDocument);
    }
    if (orders.version() > fetch.ordersVersion()) {
      all.add(new NodeMessage.Orders(orders));
    }
    return all;
  }
}
