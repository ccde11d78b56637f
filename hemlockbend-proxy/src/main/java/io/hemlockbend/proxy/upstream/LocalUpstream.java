package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.drain.LeftProcesses;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.traffic.ColdRateLimiter;
import io.hemlockbend.core.traffic.TrafficService;
import io.hemlockbend.core.traffic.UpstreamProcess;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.core.transfer.PartialMessageBudget;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.RouteCounts;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The upstream beside this node. Its identity and whether it accepts work follow from its
 * announcements, its health checks and the outcomes of its requests.
 */
public final class LocalUpstream {
  /** Incomplete answers may use the heap size divided by this; their buffers grow by doubling. */
  private static final int ANSWER_HEAP_DIVISOR = 8;

  private final EventLoop loop;
  private final UpstreamPool pool;
  private final UpstreamDispatcher dispatcher;
  private final UpstreamHealth health;
  private final String address;
  private final DecisionSink sink;
  private final CrashWatch crashes;
  private final Runnable changeListener;
  private final RecordSaver saver;
  private final ColdRateLimiter coldRate;
  private final LeftProcesses left = new LeftProcesses();
  private UpstreamRecord record;

  /** Whether a record stored before this node started may exist and has not been read yet. */
  private boolean restoring;

  private boolean domainWithdrawn;
  private long shutdownMillis = Long.MAX_VALUE;

  /**
   * Creates the upstream of a node; its state is unknown until it announces itself.
   *
   * @param loop the event loop
   * @param address the upstream's address
   * @param names the names of the platform's header fields
   * @param cold how far the rate of cold upstreams may be exceeded
   * @param sink logs decisions
   * @param crashes detects requests that crash upstreams
   * @param changeListener called when the upstream's record or state changed
   * @param saver saves the record of another process of the upstream, and of one that leaves
   */
  public LocalUpstream(
      EventLoop loop,
      InetSocketAddress address,
      FieldNames names,
      ColdAllowance cold,
      DecisionSink sink,
      CrashWatch crashes,
      Runnable changeListener,
      Function<UpstreamRecord, CompletableFuture<Void>> saver) {
    this.loop = loop;
    this.coldRate = new ColdRateLimiter(cold);
    this.sink = sink;
    this.crashes = crashes;
    this.changeListener = changeListener;
    this.saver = new RecordSaver(saver);
    this.address = address.getAddress().getHostAddress() + ":" + address.getPort();
    this.pool =
        new UpstreamPool(
            loop,
            address,
            names.requestId(),
            new PartialMessageBudget<>(Runtime.getRuntime().maxMemory() / ANSWER_HEAP_DIVISOR));
    this.health =
        new UpstreamHealth(
            loop,
            new HealthProbe(loop, pool, names),
            this.address,
            coldRate,
            sink,
            new HealthOwner());
    this.dispatcher = new UpstreamDispatcher(loop, pool, names, coldRate, crashes, health);
  }

  /**
   * Applies an announcement of the upstream.
   *
   * @return whether it was accepted; an older record or one of another address is ignored
   */
  public boolean applyAnnouncement(UpstreamRecord announcement) {
    if (!announcement.address().equals(address)
        || record != null && !announcement.newerThan(record)) {
      return false;
    }
    boolean sameProcess = record != null && record.process().equals(announcement.process());
    if (!sameProcess) {
      startProcess(announcement);
    }
    if (health.state() == UpstreamState.LEAVING) {
      record = announcement.asDraining();
      return true;
    }
    record = announcement;
    coldRate.announcedColdFor(announcement.coldMillis(), loop.millis());
    if (announcement.draining()) {
      markLeaving("draining");
    } else if (left.contains(announcement.process())) {
      markLeaving("deregistered before it announced itself");
    } else if (!sameProcess) {
      saveUnlessRestoring();
      if (restoring) {
        health.doubtUntilVerified("stored record not read yet");
      }
    }
    if (!sameProcess || announcement.draining()) {
      changeListener.run();
    }
    return true;
  }

  /**
   * Marks the stored record as unread. Until {@link #endRestore}, an upstream that announces itself
   * gets work only once a health check passes: the announcement may be older than the record, which
   * may say that the upstream leaves.
   */
  public void beginRestore() {
    restoring = true;
  }

  /**
   * Restores the record that was stored before this node restarted. The upstream gets work once a
   * health check shows that it is still the same one; never, if it was leaving, although late
   * announcements and health checks may say otherwise.
   */
  public void restore(UpstreamRecord stored) {
    if (!stored.address().equals(address)) {
      return;
    }
    if (record == null || stored.startedMillis() > record.startedMillis()) {
      startProcess(stored);
      record = stored;
      health.doubt("node restarted");
    }
    if (!record.process().equals(stored.process())) {
      health.verify();
    } else if (stored.draining()) {
      leave("was leaving before the node restarted");
    } else if (left.contains(stored.process())) {
      markLeaving("deregistered before its record was read");
    }
    changeListener.run();
  }

  /**
   * Ends the restoration: the record was read, or none is stored.
   *
   * @param found whether a record is stored, readable or not
   */
  public void endRestore(boolean found) {
    restoring = false;
    if (record == null) {
      return;
    }
    if (!found) {
      health.verify();
    }
    saveUnlessRestoring();
  }

  /**
   * Returns a future that completes when the attempt to save the latest change of the record has
   * ended.
   */
  public CompletableFuture<Void> saved() {
    return saver.saved();
  }

  /** Saves again that the upstream leaves, if it does: what was stored may be lost. */
  public void saveAgainIfLeaving() {
    if (record != null && record.draining()) {
      saver.save(record);
    }
  }

  /** Deregisters the current process of the upstream, unless the id is that of another one. */
  public void deregister(UpstreamId id) {
    if (record != null && record.id().equals(id)) {
      deregister(record.process());
    }
  }

  /**
   * Deregisters a process of the upstream: it gets no more work, whatever it announces later, also
   * if it has not announced itself to this node yet. A process before the current one is ignored.
   */
  public void deregister(UpstreamProcess process) {
    if (record != null && process.startedMillis() < record.startedMillis()) {
      return;
    }
    left.add(process);
    if (record != null
        && record.process().equals(process)
        && health.state() != UpstreamState.LEAVING) {
      markLeaving("deregistered");
      changeListener.run();
    }
  }

  /** Applies the configuration of the upstream's service. */
  public void configure(TrafficService service) {
    health.path(service.healthPath());
    boolean wasMissing = coldRate.rateMissing(loop.millis());
    coldRate.perSecond(service.coldPerSecond());
    if (wasMissing) {
      changeListener.run();
    }
  }

  /** Sets whether the failure domain is withdrawn; a restored upstream is checked before use. */
  public void updateDomainWithdrawn(boolean isWithdrawn) {
    if (domainWithdrawn == isWithdrawn) {
      return;
    }
    domainWithdrawn = isWithdrawn;
    if (domainWithdrawn) {
      dispatcher.dropAll("domain-withdrawn");
    } else {
      health.doubt("restored");
    }
    changeListener.run();
  }

  /**
   * Sets when the node stops: a request with a later deadline might be cut then without an answer
   * and is refused from now on, whichever node took it from its caller.
   */
  public void shutdownAt(long millis) {
    shutdownMillis = millis;
  }

  /** Returns the latest record of the upstream, or null when there is none. */
  public UpstreamRecord record() {
    return record;
  }

  /** Returns whether the upstream accepts work. */
  public UpstreamState state() {
    return health.state();
  }

  /** Returns how many requests run on the upstream. */
  public int running() {
    return dispatcher.running();
  }

  /** Returns the load; {@link UpstreamLoad#CLOSED} when the upstream accepts no work. */
  public UpstreamLoad load() {
    return closedReason() == null ? dispatcher.load() : UpstreamLoad.CLOSED;
  }

  /** Returns the request counts by route, for the current process of the upstream. */
  public List<RouteCounts> routeCounts() {
    return dispatcher.counts();
  }

  /** Returns how many connections to the upstream were opened so far. */
  public long connectionsOpened() {
    return pool.opened();
  }

  /** Returns the share of the running requests that are repeats, 0 to 1. */
  public double repeatShare() {
    return dispatcher.repeatShare();
  }

  /** Returns why the upstream accepts no requests now, or null when it does. */
  public String closedReason() {
    if (domainWithdrawn) {
      return "domain-withdrawn";
    }
    if (health.state() != UpstreamState.UP) {
      return "upstream-" + health.state().name().toLowerCase(Locale.ROOT);
    }
    return coldRate.rateMissing(loop.millis()) ? "cold-rate-unknown" : null;
  }

  /** Returns the usual service time of a route, in milliseconds; 0 when not known. */
  public double serviceMillis(String route) {
    return health.state() == UpstreamState.UNKNOWN ? 0 : dispatcher.serviceMillis(route);
  }

  /**
   * Runs a request.
   *
   * @param run the request
   * @param listener called once with the outcome, maybe before this method returns
   * @return cancels the request, for when its caller disconnects
   */
  public Runnable run(RunRequest run, Consumer<RunEnd> listener) {
    Consumer<RunEnd> logging =
        end -> {
          RunEndLog.log(sink, run, end, this::load);
          listener.accept(end);
        };
    String reason = closedReason();
    if (reason == null && loop.millis() + run.remainingMillis() > shutdownMillis) {
      reason = "stopping";
    }
    if (reason == null) {
      return dispatcher.run(run, logging);
    }
    logging.accept(new RunEnd.NotRun(reason));
    return () -> {};
  }

  private void startProcess(UpstreamRecord announcement) {
    if (record != null && health.state() != UpstreamState.LEAVING) {
      crashes.replaced();
    }
    dispatcher.reset(announcement);
    health.begin();
    coldRate.coldFor(announcement.coldMillis(), loop.millis());
    sink.emit(
        "upstream-began",
        null,
        "upstream",
        announcement.id(),
        "version",
        announcement.version(),
        "coldMillis",
        announcement.coldMillis(),
        "slots",
        announcement.slots());
  }

  private void markLeaving(String reason) {
    leave(reason);
    saver.save(record);
  }

  private void leave(String reason) {
    health.leave();
    record = record.asDraining();
    left.add(record.process());
    dispatcher.dropAll("upstream-leaving");
    sink.emit("upstream-leaves", null, "upstream", record.id(), "why", reason);
  }

  /** A record that was not read yet may say that the upstream leaves and must not be replaced. */
  private void saveUnlessRestoring() {
    if (!restoring && !record.draining()) {
      saver.save(record);
    }
  }

  private final class HealthOwner implements UpstreamHealth.Owner {
    @Override
    public UpstreamRecord record() {
      return record;
    }

    @Override
    public void wentDown() {
      dispatcher.dropAll("upstream-down");
    }

    @Override
    public void crashed() {
      crashes.crashed();
    }

    @Override
    public void changed() {
      changeListener.run();
    }
  }
}
