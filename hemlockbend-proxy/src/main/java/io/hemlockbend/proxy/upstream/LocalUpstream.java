package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.traffic.ColdRateLimiter;
import io.hemlockbend.core.traffic.TrafficService;
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
import java.util.function.Consumer;

/**
 * The upstream beside this node: knows who it is and whether it takes work, from what it announces,
 * its health checks and the ends of its requests.
 */
public final class LocalUpstream {
  private static final long PROBE_MILLIS = 150;
  private static final long MAX_PROBE_MILLIS = 1_000;
  private static final int LOST_TO_DOWN = 3;

  /**
   * One part of so many of the heap is for answers that are not whole; buffers grow by doubling.
   */
  private static final int ANSWERS_HEAP_PARTS = 8;

  private final EventLoop loop;
  private final UpstreamPool pool;
  private final UpstreamRuns runs;
  private final HealthProbe probe;
  private final String address;
  private final DecisionSink sink;
  private final CrashWatch crashes;
  private final Runnable changed;
  private final Consumer<UpstreamRecord> began;
  private final ColdRateLimiter coldRate;
  private UpstreamRecord record;
  private UpstreamState state = UpstreamState.UNKNOWN;
  private String healthPath = "/health";
  private int lostInRow;
  private int probes;
  private boolean withdrawn;

  /**
   * Makes the upstream of a node; it is unknown until it announces itself.
   *
   * @param loop the event loop
   * @param address the upstream's address
   * @param names the header fields with a meaning
   * @param cold how far the rate of cold upstreams may be exceeded
   * @param sink takes note of decisions
   * @param crashes finds requests that crash upstreams
   * @param changed hears that the upstream's record or state changed
   * @param began hears that another process of the upstream announced itself
   */
  public LocalUpstream(
      EventLoop loop,
      InetSocketAddress address,
      FieldNames names,
      ColdAllowance cold,
      DecisionSink sink,
      CrashWatch crashes,
      Runnable changed,
      Consumer<UpstreamRecord> began) {
    this.loop = loop;
    this.coldRate = new ColdRateLimiter(cold);
    this.sink = sink;
    this.crashes = crashes;
    this.changed = changed;
    this.began = began;
    this.address = address.getAddress().getHostAddress() + ":" + address.getPort();
    this.pool =
        new UpstreamPool(
            loop,
            address,
            names.requestId(),
            new PartialMessageBudget<>(Runtime.getRuntime().maxMemory() / ANSWERS_HEAP_PARTS));
    this.probe = new HealthProbe(loop, pool, names);
    this.runs = new UpstreamRuns(loop, pool, names, coldRate, crashes, new RunObserver());
  }

  /**
   * Takes in what the upstream says of itself.
   *
   * @return whether it was taken in; an older record or one of another address is not
   */
  public boolean announced(UpstreamRecord news) {
    if (!news.address().equals(address) || record != null && !news.newerThan(record)) {
      return false;
    }
    boolean sameProcess =
        record != null
            && record.id().equals(news.id())
            && record.startedMillis() == news.startedMillis();
    if (!sameProcess) {
      begin(news);
      began.accept(news);
    }
    record = news;
    if (state == UpstreamState.LEAVING) {
      return true;
    }
    coldRate.coldFor(news.coldMillis(), loop.millis());
    if (news.draining()) {
      leave("draining");
    }
    if (!sameProcess || news.draining()) {
      changed.run();
    }
    return true;
  }

  /**
   * Takes in what the upstream said before this node was restarted. It gets work once a health
   * check shows that the same upstream is still there.
   */
  public void restore(UpstreamRecord kept) {
    if (record != null || kept.draining() || !kept.address().equals(address)) {
      return;
    }
    begin(kept);
    record = kept;
    suspect("node restarted");
  }

  /** Takes in that the upstream ends; it gets no more work, whatever it says later. */
  public void left(UpstreamId id) {
    if (record != null && record.id().equals(id) && state != UpstreamState.LEAVING) {
      leave("deregistered");
      changed.run();
    }
  }

  /** Takes in what the configuration says of its service. */
  public void service(TrafficService service) {
    healthPath = service.healthPath();
    coldRate.perSecond(service.coldPerSecond());
  }

  /** Takes in whether its failure domain is withdrawn; a restored one is checked before use. */
  public void withdrawn(boolean isWithdrawn) {
    if (withdrawn == isWithdrawn) {
      return;
    }
    withdrawn = isWithdrawn;
    if (withdrawn) {
      runs.dropAll("domain-withdrawn");
    } else {
      suspect("restored");
    }
    changed.run();
  }

  /** Returns what the upstream says of itself, or null. */
  public UpstreamRecord record() {
    return record;
  }

  /** Returns whether it takes work. */
  public UpstreamState state() {
    return state;
  }

  /** Returns how many requests it runs. */
  public int running() {
    return runs.running();
  }

  /** Returns how loaded it is. */
  public UpstreamLoad load() {
    return state == UpstreamState.UP && !withdrawn ? runs.load() : UpstreamLoad.CLOSED;
  }

  /** Returns what it did on each route since its record began. */
  public List<RouteCounts> counts() {
    return runs.counts();
  }

  /** Returns how many connections to it were opened. */
  public long connectionsOpened() {
    return pool.opened();
  }

  /** Returns why the upstream takes no request now, or null when it does. */
  public String closedReason() {
    if (withdrawn) {
      return "domain-withdrawn";
    }
    return state == UpstreamState.UP ? null : "upstream-" + state.name().toLowerCase(Locale.ROOT);
  }

  /** Returns how long a request of a route usually takes, in milliseconds; 0 when not known. */
  public double serviceMillis(String route) {
    return state == UpstreamState.UNKNOWN ? 0 : runs.serviceMillis(route);
  }

  /**
   * Runs a request.
   *
   * @param run the request
   * @param listener hears once how it ended, maybe before this returns
   * @return takes the request back when its caller leaves
   */
  public Runnable run(RunRequest run, Consumer<RunEnd> listener) {
    Consumer<RunEnd> noted =
        end -> {
          note(run, end);
          listener.accept(end);
        };
    String reason = closedReason();
    if (reason == null) {
      return runs.run(run, noted);
    }
    noted.accept(new RunEnd.NotRun(reason));
    return () -> {};
  }

  /** Logs the ends that are no answers, with the load that explains them. */
  private void note(RunRequest run, RunEnd end) {
    String reason =
        switch (end) {
          case RunEnd.Answered ignored -> null;
          case RunEnd.NotRun notRun -> notRun.reason();
          case RunEnd.Lost lost -> lost.reason();
        };
    if (reason != null) {
      UpstreamLoad now = load();
      sink.decided(
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

  private void begin(UpstreamRecord news) {
    runs.begin(news);
    state = UpstreamState.UP;
    lostInRow = 0;
    sink.decided(
        "upstream-began",
        null,
        "upstream",
        news.id(),
        "version",
        news.version(),
        "coldMillis",
        news.coldMillis(),
        "slots",
        news.slots());
  }

  private void leave(String why) {
    state = UpstreamState.LEAVING;
    runs.dropAll("upstream-leaving");
    sink.decided("upstream-leaves", null, "upstream", record.id(), "why", why);
  }

  /** Sends nothing until the upstream has answered a health check. */
  private void suspect(String why) {
    if (state != UpstreamState.UP) {
      return;
    }
    state = UpstreamState.DOWN;
    probes = 0;
    runs.dropAll("upstream-down");
    sink.decided("upstream-down", null, "upstream", record.id(), "why", why);
    changed.run();
    probeHealth();
  }

  private void crashed(String why) {
    if (state == UpstreamState.UP) {
      crashes.crashed();
      suspect(why);
    }
  }

  private void probeHealth() {
    if (state == UpstreamState.DOWN) {
      probes++;
      probe.ask(healthPath, address, this::probed);
      loop.after(Math.min(MAX_PROBE_MILLIS, PROBE_MILLIS * probes), this::probeHealth);
    }
  }

  private void probed(HealthProbe.Health health) {
    boolean same = health.upstreamId() == null || health.upstreamId().equals(record.id().value());
    if (state != UpstreamState.DOWN || !health.healthy() || !same) {
      return;
    }
    coldRate.coldFor(Math.max(0, health.coldMillis()), loop.millis());
    state = UpstreamState.UP;
    lostInRow = 0;
    sink.decided("upstream-up", null, "upstream", record.id(), "coldMillis", health.coldMillis());
    changed.run();
  }

  private final class RunObserver implements UpstreamRuns.Observer {
    @Override
    public void answered() {
      lostInRow = 0;
    }

    @Override
    public void misdirected() {
      suspect("misdirected");
    }

    @Override
    public void unreachable(String reason) {
      crashed(reason);
    }

    @Override
    public void brokeOff(String reason) {
      lostInRow++;
      if (lostInRow >= LOST_TO_DOWN) {
        crashed(reason);
      }
    }
  }
}
