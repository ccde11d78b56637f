package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.traffic.TrafficConfiguration;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.peer.Compression;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
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
  private final CarriedOrders carried = new CarriedOrders();
  private OperatorOrders read = OperatorOrders.NONE;
  private OperatorOrders inForce = OperatorOrders.NONE;

  /** The era whose lack of orders this node has filled itself, or has stopped to fill. */
  private long filledEra = -1;

  private boolean restored;
  private long restoreSeenMillis = Long.MIN_VALUE / 2;

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
    return inForce;
  }

  /** Returns whether orders of a restored store were applied since the last call. */
  boolean pollRestored() {
    boolean since = restored;
    restored = false;
    return since;
  }

  /** Returns whether the operator may still write orders again that a restore has lost. */
  boolean restoredLately(long nowMillis) {
    return nowMillis - restoreSeenMillis < CarriedOrders.KEEP_MILLIS;
  }

  /** Returns how many orders in force the restored store lacks. */
  int carriedOrders() {
    return carried.size();
  }

  /**
   * Returns whether another node knows orders that the restored store lacks and that this node
   * cannot know, since it has started after the restore.
   */
  boolean lacksOrdersOf(NodeReport report) {
    return report.ordersVersion().equals(read.version())
        && report.carriedOrders() > carried.size()
        && filledEra < read.version().era();
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
  boolean apply(OperatorOrders updated, Source source, long nowMillis) {
    if (!updated.version().newerThan(read.version())) {
      return false;
    }
    long era = updated.version().era();
    if (!read.equals(OperatorOrders.NONE) && era > read.version().era()) {
      carried.begin(inForce, nowMillis);
      filledEra = era;
      restoreSeenMillis = nowMillis;
      restored = true;
    } else {
      recordReplaced(updated);
    }
    read = updated;
    putInForce(source);
    return true;
  }

  /** As {@link #apply(OperatorOrders, Source, long)}, for the orders of another node. */
  boolean apply(NodeMessage.Orders message, long nowMillis) {
    boolean applied = apply(message.read(), Source.PEER, nowMillis);
    boolean adopts =
        message.read().version().equals(read.version())
            && filledEra < read.version().era()
            && message.carriedMillis() > 0;
    if (adopts) {
      carried.adopt(message.carried(), message.carriedMillis(), nowMillis);
      putInForce(Source.PEER);
    }
    return applied || adopts;
  }

  /** Drops orders that the restored store has not shown again; returns whether there were any. */
  boolean expireCarried(long nowMillis) {
    if (!carried.expire(nowMillis)) {
      return false;
    }
    filledEra = read.version().era();
    putInForce(Source.STORE);
    return true;
  }

  private void recordReplaced(OperatorOrders updated) {
    for (MoveOrder before : read.moves()) {
      boolean same = updated.moves().stream().anyMatch(move -> move.order().equals(before.order()));
      if (!same) {
        carried.replaced(before);
      }
    }
  }

  private void putInForce(Source source) {
    carried.settle(read);
    inForce = carried.over(read);
    sink.emit(
        "orders",
        null,
        "version",
        inForce.version(),
        "source",
        source,
        "carried",
        carried.size(),
        "withdrawn",
        inForce.withdrawn(),
        "moves",
        inForce.moves());
  }

  /** Returns the documents that a node lacks that asks for them. */
  List<NodeMessage> lackedBy(NodeMessage.Fetch fetch, long nowMillis) {
    List<NodeMessage> all = new ArrayList<>();
    if (configurationVersion() > fetch.configurationVersion()) {
      if (compressedDocument == null) {
        compressedDocument =
            new NodeMessage.Configuration(configuration.version(), Compression.compress(document));
      }
      all.add(compressedDocument);
    }
    boolean carriesMore =
        read.version().equals(fetch.ordersVersion()) && carried.size() > fetch.carriedOrders();
    if (read.version().newerThan(fetch.ordersVersion()) || carriesMore) {
      all.add(
          new NodeMessage.Orders(read, carried.lackedBy(read), carried.remainingMillis(nowMillis)));
    }
    return all;
  }
}
