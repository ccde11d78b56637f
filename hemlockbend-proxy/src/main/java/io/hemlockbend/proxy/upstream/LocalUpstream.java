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
  private static final long PROBE_BACKOFF_MILLIS = 150;
  private static final long MAX_PROBE_BACKOFF_MILLIS = 1_000;
  private static final int LOSSES_UNTIL_DOWN = 3;

  /** Incomplete answers may use the heap size divided by this; their buffers grow by doubling. */
  private static final int ANSWER_HEAP_DIVISOR = 8;

  private final EventLoop loop;
  private final UpstreamPool pool;
  private final UpstreamDispatcher dispatcher;
  private final HealthProbe probe;
  private final String address;
  private final DecisionSink sink;
  private final CrashWatch crashes;
  private final Runnable changeListener;
  private final Function<UpstreamRecord, CompletableFuture<Void>> saver;
  private final ColdRateLimiter coldRate;
  private final LeftProcesses left = new LeftProcesses();
  private CompletableFuture<Void> saved = CompletableFuture.completedFuture(null);
  private UpstreamRecord record;

  /** Whether a record stored before this node started may exist and has not been read yet. */
  private boolean restoring;

  /** Whether the upstream is down only because its announcement may be older than its record. */
  private boolean unverified;

  private UpstreamState state = UpstreamState.UNKNOWN;
  private String healthPath = "/health";
  private int consecutiveLosses;
  private int probeCount;
  private boolean domainWithdrawn;

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
    this.saver = saver;
    this.address = address.getAddress().getHostAddress() + ":" + address.getPort();
    this.pool =
        new UpstreamPool(
            loop,
            address,
            names.requestId(),
            new PartialMessageBudget<>(Runtime.getRuntime().maxMemory() / ANSWER_HEAP_DIVISOR));
    this.probe = new HealthProbe(loop, pool, names);
    this.dispatcher =
        new UpstreamDispatcher(loop, pool, names, coldRate, crashes, new RunObserver());
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
    if (state == UpstreamState.LEAVING) {
      record = announcement.asDraining();
      return true;
    }
    record = announcement;
    coldRate.coldFor(announcement.coldMillis(), loop.millis());
    if (announcement.draining()) {
      markLeaving("draining");
    } else if (left.contains(announcement.process())) {
      markLeaving("deregistered before it announced itself");
    } else if (!sameProcess) {
      saveUnlessRestoring();
      if (restoring) {
        markDown("stored record not read yet");
        unverified = true;
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
      markDown("node restarted");
    }
    if (!record.process().equals(stored.process())) {
      markVerified();
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
      markVerified();
    }
    saveUnlessRestoring();
  }

  /**
   * Returns a future that completes when the attempt to save the latest change of the record has
   * ended.
   */
  public CompletableFuture<Void> saved() {
    return saved;
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
    if (record != null && record.process().equals(process) && state != UpstreamState.LEAVING) {
      markLeaving("deregistered");
      changeListener.run();
    }
  }

  /** Applies the configuration of the upstream's service. */
  public void configure(TrafficService service) {
    healthPath = service.healthPath();
    coldRate.perSecond(service.coldPerSecond());
  }

  /** Sets whether the failure domain is withdrawn; a restored upstream is checked before use. */
  public void updateDomainWithdrawn(boolean isWithdrawn) {
    if (domainWithdrawn == isWithdrawn) {
      return;
    }
    domainWithdrawn = isWithdrawn;
    unverified = false;
    if (domainWithdrawn) {
      dispatcher.dropAll("domain-withdrawn");
    } else {
      markDown("restored");
    }
    changeListener.run();
  }

  /** Returns the latest record of the upstream, or null when there is none. */
  public UpstreamRecord record() {
    return record;
  }

  /** Returns whether the upstream accepts work. */
  public UpstreamState state() {
    return state;
  }

  /** Returns how many requests run on the upstream. */
  public int running() {
    return dispatcher.running();
  }

  /** Returns the load; {@link UpstreamLoad#CLOSED} when the upstream accepts no work. */
  public UpstreamLoad load() {
    return state == UpstreamState.UP && !domainWithdrawn ? dispatcher.load() : UpstreamLoad.CLOSED;
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
    return state == UpstreamState.UP ? null : "upstream-" + state.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the usual service time of a route, in milliseconds; 0 when not known. */
  public double serviceMillis(String route) {
    return state == UpstreamState.UNKNOWN ? 0 : dispatcher.serviceMillis(route);
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
          logEnd(run, end);
          listener.accept(end);
        };
    String reason = closedReason();
    if (reason == null) {
      return dispatcher.run(run, logging);
    }
    logging.accept(new RunEnd.NotRun(reason));
    return () -> {};
  }

  /** Logs outcomes that are no answers, with the load that explains them. */
  private void logEnd(RunRequest run, RunEnd end) {
    String reason =
        switch (end) {
          case RunEnd.Answered ignored -> null;
          case RunEnd.NotRun notRun -> notRun.reason();
          case RunEnd.Lost lost -> lost.reason();
        };
    if (reason != null) {
      UpstreamLoad now = load();
      sink.emit(
          end instanceof RunEnd.Lost ? "run-lost" : "not-run",
          run.id(),
          "upstream",
          run.upstream(),
          "why",
          reason,
          "running",
          now.running(),
          "queued",
          now.queued(),
          "limit",
          now.limit(),
          "remainingMillis",
          run.remainingMillis(),
          "targetMillis",
          run.targetMillis());
    }
  }

  private void startProcess(UpstreamRecord announcement) {
    dispatcher.reset(announcement);
    state = UpstreamState.UP;
    unverified = false;
    consecutiveLosses = 0;
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
    save();
  }

  private void leave(String reason) {
    state = UpstreamState.LEAVING;
    record = record.asDraining();
    left.add(record.process());
    dispatcher.dropAll("upstream-leaving");
    sink.emit("upstream-leaves", null, "upstream", record.id(), "why", reason);
  }

  /** Saves the record after the one before it, so that the latest one is what remains. */
  private void save() {
    UpstreamRecord latest = record;
    saved = saved.handle((done, failure) -> null).thenCompose(done -> saver.apply(latest));
  }

  /** A record that was not read yet may say that the upstream leaves and must not be replaced. */
  private void saveUnlessRestoring() {
    if (!restoring && !record.draining()) {
      save();
    }
  }

  /**
   * Ends the wait for a health check of a process that cannot have left before the node started.
   */
  private void markVerified() {
    if (state == UpstreamState.DOWN && unverified) {
      markUp();
    }
  }

  /** Stops sending requests until the upstream has passed a health check. */
  private void markDown(String reason) {
    if (state != UpstreamState.UP) {
      return;
    }
    state = UpstreamState.DOWN;
    probeCount = 0;
    dispatcher.dropAll("upstream-down");
    sink.emit("upstream-down", null, "upstream", record.id(), "why", reason);
    changeListener.run();
    probeHealth();
  }

  private void crashed(String reason) {
    if (state == UpstreamState.UP) {
      crashes.crashed();
      markDown(reason);
    }
  }

  private void probeHealth() {
    if (state == UpstreamState.DOWN) {
      probeCount++;
      probe.probe(healthPath, address, this::probed);
      loop.after(
          Math.min(MAX_PROBE_BACKOFF_MILLIS, PROBE_BACKOFF_MILLIS * probeCount), this::probeHealth);
    }
  }

  private void probed(HealthProbe.Health health) {
    boolean same = health.upstreamId() == null || health.upstreamId().equals(record.id().value());
    if (state != UpstreamState.DOWN || !health.healthy() || !same) {
      return;
    }
    coldRate.coldFor(Math.max(0, health.coldMillis()), loop.millis());
    markUp();
  }

  private void markUp() {
    state = UpstreamState.UP;
    unverified = false;
    consecutiveLosses = 0;
    long coldMillis = coldRate.coldMillis(loop.millis());
    sink.emit("upstream-up", null, "upstream", record.id(), "coldMillis", coldMillis);
    changeListener.run();
  }

  private final class RunObserver implements UpstreamDispatcher.Observer {
    @Override
    public void answered() {
      consecutiveLosses = 0;
    }

    @Override
    public void misdirected() {
      markDown("misdirected");
    }

    @Override
    public void unreachable(String reason) {
      crashed(reason);
    }

    @Override
    public void connectionLost(String reason) {
      consecutiveLosses++;
      if (consecutiveLosses >= LOSSES_UNTIL_DOWN) {
        crashed(reason);
      }
    }
  }
}
