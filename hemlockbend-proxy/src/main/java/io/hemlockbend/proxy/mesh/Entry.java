package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.admission.NestedCallDetector;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.placement.PlacedUpstream;
import io.hemlockbend.core.placement.SlackClass;
import io.hemlockbend.core.placement.UpstreamChooser;
import io.hemlockbend.core.placement.VersionGroup;
import io.hemlockbend.core.placement.WeightedRoundRobin;
import io.hemlockbend.core.traffic.TrafficConfiguration;
import io.hemlockbend.core.traffic.TrafficRoute;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.http.Exchange;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.http.HttpMessages;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import io.hemlockbend.proxy.upstream.LocalUpstream;
import io.hemlockbend.proxy.upstream.UpstreamRuns;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;

/** Takes callers' requests, chooses an upstream for each and gives its answer back. */
public final class Entry {
  private static final double SAME_DOMAIN_MILLIS = 0.5;
  private static final double CROSS_DOMAIN_MILLIS = 4;
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

  /** About how long a node is away when it is restarted. */
  private static final long RESTART_MILLIS = 1_500;

  private static final int PERMILLE = 1000;

  /** For how long the load that another node told is taken as its load of now. */
  private static final long LOAD_FRESH_MILLIS = 150;

  private static final int MAX_TURN_OFFSET = 64;
  private static final int MAX_TURNS = 10_000;

  private final EventLoop loop;
  private final FieldNames names;
  private final ServiceName callerService;
  private final PeerMesh mesh;
  private final LocalUpstream local;
  private final ServiceVersions versions;
  private final RetryBudgets budgets;
  private final DecisionSink sink;
  private final EntryCounters counters = new EntryCounters();
  private final RandomGenerator random = new SplittableRandom();
  private final UpstreamChooser chooser = new UpstreamChooser(random);
  private final Map<String, WeightedRoundRobin> turns = new HashMap<>();
  private final Map<ServiceName, NestedCallDetector> shortLived = new HashMap<>();
  private TrafficConfiguration configuration;
  private Set<FailureDomain> withdrawn = Set.of();
  private long endMillis = Long.MAX_VALUE;
  private int open;

  /** Makes the entry of a node; it refuses all requests until a configuration is there. */
  public Entry(
      EventLoop loop,
      FieldNames names,
      ServiceName callerService,
      PeerMesh mesh,
      LocalUpstream local,
      ServiceVersions versions,
      EntrySettings settings,
      DecisionSink sink) {
    this.loop = loop;
    this.names = names;
    this.callerService = callerService;
    this.mesh = mesh;
    this.local = local;
    this.versions = versions;
    this.budgets = new RetryBudgets(loop, settings, () -> mesh.peers().size() + 1);
    this.sink = sink;
  }

  /** Takes in a newer configuration. */
  public void configuration(TrafficConfiguration news) {
    configuration = news;
    if (turns.size() > MAX_TURNS) {
      turns.clear();
    }
  }

  /** Takes in which failure domains get no work. */
  public void withdrawn(Set<FailureDomain> domains) {
    withdrawn = domains;
  }

  /** Takes in when the node ends; requests that may last longer are refused from now on. */
  public void endBy(long millis) {
    endMillis = millis;
  }

  /** Returns how many requests wait for their answers. */
  public int open() {
    return open;
  }

  /** Returns the counts since the start. */
  public EntryCounters counters() {
    return counters;
  }

  /** Takes a request. */
  public void handle(Exchange exchange) {
    HttpRequest request = exchange.request();
    if (request.field(names.requestId()) == null) {
      exchange.respond(Refusals.badRequest("no request id"));
      return;
    }
    if (configuration == null) {
      note("refused", exchange, "why", "no configuration");
      exchange.respond(Refusals.notRun("no configuration", NO_CONFIGURATION_RETRY_MILLIS, random));
      return;
    }
    String host = request.field(HttpHeader.HOST.asString());
    Optional<TrafficRoute> found = configuration.route(host, request.target());
    if (found.isEmpty()) {
      note("no-route", exchange, "host", host, "configuration", configuration.version());
      exchange.respond(Refusals.noRoute());
      return;
    }
    TrafficRoute route = found.get();
    long deadlineMillis = deadline(exchange, route);
    if (deadlineMillis > endMillis) {
      note("refused", exchange, "why", "stopping", "endMillis", endMillis - loop.millis());
      exchange.respond(Refusals.notRun("stopping", RESTART_MILLIS, random));
      return;
    }
    ServiceName service = turn(route);
    budgets.called(service);
    open++;
    boolean isShort =
        shortLived
            .computeIfAbsent(service, name -> new NestedCallDetector())
            .detect(deadlineMillis - loop.millis(), loop.millis());
    new EntryCall(this, exchange, route, service, deadlineMillis, isShort).place();
  }

  EventLoop loop() {
    return loop;
  }

  RandomGenerator random() {
    return random;
  }

  boolean takeRetry(ServiceName service) {
    return budgets.take(service);
  }

  boolean hasCandidate(EntryCall call) {
    return !candidates(call, VersionGroup.CURRENT).isEmpty()
        || !candidates(call, VersionGroup.FRESH).isEmpty();
  }

  /** Returns where a request goes, or null when no upstream may take it. */
  Placed choose(EntryCall call) {
    boolean fresh = versions.freshTurn(call.service());
    List<Candidate> candidates =
        candidates(call, fresh ? VersionGroup.FRESH : VersionGroup.CURRENT);
    if (candidates.isEmpty() && fresh && versions.permille(call.service()) < PERMILLE) {
      candidates = candidates(call, VersionGroup.CURRENT);
    }
    List<PlacedUpstream> choices = new ArrayList<>(candidates.size());
    long nowMillis = loop.millis();
    double left = call.late() ? call.remainingMillis() : call.targetLeftMillis();
    for (Candidate candidate : candidates) {
      if (!knownFull(call, candidate, left, nowMillis)) {
        choices.add(candidate.choice());
      }
    }
    Optional<PlacedUpstream> chosen = chooser.choose(choices);
    if (chosen.isEmpty()) {
      return null;
    }
    for (Candidate candidate : candidates) {
      if (candidate.choice() == chosen.get()) {
        return candidate.placed();
      }
    }
    throw new IllegalStateException("the chosen upstream is no candidate");
  }

  Runnable run(EntryCall call, Placed placed, Consumer<RunEnd> listener) {
    UpstreamRecord upstream = placed.upstream();
    HttpRequest request = call.exchange().request();
    RunRequest run =
        new RunRequest(
            request.field(names.requestId()),
            call.route().name(),
            new VersionKey(upstream.service(), upstream.version()),
            upstream.id(),
            call.route().priority(),
            call.route().idempotent(),
            call.targetLeftMillis(),
            call.remainingMillis(),
            new HttpRequest(
                request.method(), request.target(), forwarded(request), request.body()));
    counters.placed++;
    return placed.peer() == null
        ? local.run(run, listener)
        : mesh.run(placed.peer(), run, listener);
  }

  void ended(EntryCall call, int status, EntryOutcome outcome, String why, NodeId node) {
    open--;
    long tookMillis = loop.millis() - call.exchange().receivedMillis();
    counters.ended(status, outcome, tookMillis);
    note(
        "end",
        call.exchange(),
        "route",
        call.route().name(),
        "configuration",
        configuration.version(),
        "tries",
        call.tries(),
        "answeredBy",
        node,
        "status",
        status,
        "outcome",
        outcome.word(),
        "why",
        why.isEmpty() ? null : why,
        "readMillis",
        call.readMillis(),
        "serviceMillis",
        call.serviceMillis(),
        "tookMillis",
        tookMillis);
  }

  void note(String event, Exchange exchange, Object... details) {
    sink.decided(event, exchange.request().field(names.requestId()), details);
  }

  private record Candidate(Placed placed, PlacedUpstream choice) {}

  private List<Candidate> candidates(EntryCall call, VersionGroup group) {
    List<Candidate> all = new ArrayList<>();
    UpstreamLoad own = local.load();
    if (local.record() != null && own.limit() > 0) {
      add(
          all,
          call,
          group,
          new Placed(mesh.self().node(), null, local.record()),
          own,
          own.running() + own.queued());
    }
    long nowMillis = loop.millis();
    for (Peer peer : mesh.peers()) {
      NodeReport report = peer.report;
      boolean serves =
          report != null
              && report.upstream() != null
              && report.upstream().service().equals(call.service());
      if (serves && !report.leaving() && mesh.alive(peer, nowMillis)) {
        Placed placed = new Placed(peer.info.node(), peer, report.upstream());
        add(all, call, group, placed, peer.load, peer.busy());
      }
    }
    return all;
  }

  private void add(
      List<Candidate> all,
      EntryCall call,
      VersionGroup group,
      Placed placed,
      UpstreamLoad load,
      double busy) {
    UpstreamRecord upstream = placed.upstream();
    if (!upstream.service().equals(call.service())
        || upstream.draining()
        || load.limit() <= 0
        || withdrawn.contains(upstream.domain())
        || call.excluded(placed.node())
        || versions.group(call.service(), upstream.version()) != group) {
      return;
    }
    boolean near = upstream.domain().equals(mesh.self().domain());
    int bodyBytes = call.exchange().request().body().length;
    boolean offered = placed.peer() != null && bodyBytes >= SentRun.OFFERED_BYTES;
    double crossing =
        (near ? SAME_DOMAIN_MILLIS : CROSS_DOMAIN_MILLIS)
            + (offered ? load.bodyMillis(bodyBytes) : 0);
    all.add(
        new Candidate(
            placed,
            new PlacedUpstream(
                placed.node(),
                busy,
                load.patient(),
                load.late(),
                load.limit(),
                upstream.slots() * UpstreamRuns.QUEUE_PER_SLOT,
                load.serviceMillis(),
                load.failureShare(),
                near,
                crossing,
                offered ? load.bodyWaitMillis() : 0)));
  }

  /**
   * Returns whether the node beside an upstream would refuse a request, by what it told just now.
   */
  private boolean knownFull(
      EntryCall call, Candidate candidate, double leftMillis, long nowMillis) {
    Peer peer = candidate.placed().peer();
    boolean told = peer == null || nowMillis - peer.loadMillis <= LOAD_FRESH_MILLIS;
    PlacedUpstream choice = candidate.choice();
    SlackClass kind = call.late() ? SlackClass.LATE : choice.slackClass(leftMillis);
    return told && choice.full(kind, leftMillis);
  }

  private ServiceName turn(TrafficRoute route) {
    if (route.services().size() == 1) {
      return route.services().get(0).service();
    }
    String key = route.host() + route.prefix();
    WeightedRoundRobin dealt = turns.get(key);
    // A new configuration with the same weights goes on where the one before was.
    if (dealt == null || !dealt.services().equals(route.services())) {
      dealt = new WeightedRoundRobin(route.services(), random.nextInt(MAX_TURN_OFFSET));
      turns.put(key, dealt);
    }
    return dealt.next();
  }

  private long deadline(Exchange exchange, TrafficRoute route) {
    long waits = route.timeoutMillis();
    String value = exchange.request().field(names.deadline());
    if (value != null && value.matches("\\d{1,9}")) {
      waits = Math.min(waits, Long.parseLong(value));
    }
    return exchange.receivedMillis() + waits;
  }

  private List<HttpField> forwarded(HttpRequest request) {
    String connection = request.field(HttpHeader.CONNECTION.asString());
    List<HttpField> kept = new ArrayList<>(request.fields().size() + 4);
    for (HttpField field : request.fields()) {
      if (!HttpMessages.hopByHop(field, connection) && !setHere(field.getName())) {
        kept.add(field);
      }
    }
    kept.add(new HttpField(names.callerService(), callerService.value()));
    return kept;
  }

  private boolean setHere(String name) {
    return name.equalsIgnoreCase(names.callerService())
        || name.equalsIgnoreCase(names.deadline())
        || name.equalsIgnoreCase(names.expectedUpstream());
  }
}
