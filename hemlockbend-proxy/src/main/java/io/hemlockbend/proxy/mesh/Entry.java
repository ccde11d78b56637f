package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.admission.NestedCallDetector;
import io.hemlockbend.core.admission.NestedRouteDetector;
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
import io.hemlockbend.proxy.upstream.UpstreamDispatcher;
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

/**
 * Handles callers' requests: chooses an upstream for each and returns its response. Runs on the
 * event loop's thread.
 */
public final class Entry {
  private static final double SAME_DOMAIN_MILLIS = 0.5;
  private static final double CROSS_DOMAIN_MILLIS = 4;
  private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 300;

  /** Typical duration of a node restart. */
  private static final long RESTART_MILLIS = 1_500;

  private static final int PERMILLE = 1000;

  /** Maximum age of another node's load report for it to be used to rule out full upstreams. */
  private static final long LOAD_FRESH_MILLIS = 150;

  private static final int MAX_ROUND_ROBIN_OFFSET = 64;
  private static final int MAX_ROUND_ROBINS = 10_000;

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
  private final Map<String, WeightedRoundRobin> roundRobins = new HashMap<>();
  private final Map<ServiceName, NestedCallDetector> nestedCallDetectors = new HashMap<>();
  private final NestedRouteDetector nestedRoutes = new NestedRouteDetector();
  private TrafficConfiguration configuration;
  private Set<FailureDomain> withdrawn = Set.of();
  private long shutdownMillis = Long.MAX_VALUE;
  private int open;

  /** Creates the entry of a node; it refuses all requests until it has a configuration. */
  Entry(
      EventLoop loop,
      FieldNames names,
      ServiceName callerService,
      PeerMesh mesh,
      LocalUpstream local,
      ServiceVersions versions,
      RetryBudgets budgets,
      DecisionSink sink) {
    this.loop = loop;
    this.names = names;
    this.callerService = callerService;
    this.mesh = mesh;
    this.local = local;
    this.versions = versions;
    this.budgets = budgets;
    this.sink = sink;
  }

  /** Replaces the configuration. */
  public void updateConfiguration(TrafficConfiguration updated) {
    configuration = updated;
    if (roundRobins.size() > MAX_ROUND_ROBINS) {
      roundRobins.clear();
    }
  }

  /** Sets the failure domains whose upstreams get no requests. */
  public void updateWithdrawn(Set<FailureDomain> domains) {
    withdrawn = domains;
  }

  /** Sets when the node stops; requests with a later deadline are refused from now on. */
  public void shutdownAt(long millis) {
    shutdownMillis = millis;
  }

  /** Returns the number of requests in flight. */
  public int open() {
    return open;
  }

  /** Returns the counters since the start. */
  public EntryCounters counters() {
    return counters;
  }

  /** Handles a caller's request: routes it, or responds with an error at once. */
  public void handle(Exchange exchange) {
    HttpRequest request = exchange.request();
    if (request.field(names.requestId()) == null) {
      exchange.respond(ErrorReplies.badRequest("no request id"));
      return;
    }
    if (configuration == null) {
      log("refused", exchange, "why", "no configuration");
      exchange.respond(
          ErrorReplies.notRun("no configuration", NO_CONFIGURATION_RETRY_AFTER_MILLIS, random));
      return;
    }
    String host = request.field(HttpHeader.HOST.asString());
    Optional<TrafficRoute> found = configuration.route(host, request.target());
    if (found.isEmpty()) {
      log("no-route", exchange, "host", host, "configuration", configuration.version());
      exchange.respond(ErrorReplies.noRoute());
      return;
    }
    TrafficRoute route = found.get();
    long deadlineMillis = deadline(exchange, route);
    if (deadlineMillis > shutdownMillis) {
      log("refused", exchange, "why", "stopping", "endMillis", shutdownMillis - loop.millis());
      exchange.respond(ErrorReplies.notRun("stopping", RESTART_MILLIS, random));
      return;
    }
    ServiceName service = nextService(route);
    boolean nestedRoute = nestedRoutes.detect(route.name(), local.running() > 0);
    budgets.recordCall(service, nestedRoute, nestedRoute ? local.repeatShare() : 0);
    open++;
    boolean nestedCall =
        nestedCallDetectors
            .computeIfAbsent(service, name -> new NestedCallDetector())
            .detect(deadlineMillis - loop.millis(), loop.millis());
    new EntryCall(this, exchange, route, service, deadlineMillis, nestedCall, nestedRoute).place();
  }

  EventLoop loop() {
    return loop;
  }

  RandomGenerator random() {
    return random;
  }

  boolean tryAcquireRetry(EntryCall call) {
    return budgets.tryAcquire(call.service(), call.nestedRoute());
  }

  boolean hasCandidate(EntryCall call) {
    return !candidates(call, VersionGroup.CURRENT).isEmpty()
        || !candidates(call, VersionGroup.FRESH).isEmpty();
  }

  /** Chooses the upstream for a request; returns null if none can accept it. */
  Placement choose(EntryCall call) {
    boolean fresh = versions.nextIsFresh(call.service());
    List<Candidate> candidates =
        candidates(call, fresh ? VersionGroup.FRESH : VersionGroup.CURRENT);
    Placement placed = choose(call, candidates);
    boolean mayUseCurrent = fresh && versions.permille(call.service()) < PERMILLE;
    return placed == null && mayUseCurrent
        ? choose(call, candidates(call, VersionGroup.CURRENT))
        : placed;
  }

  private Placement choose(EntryCall call, List<Candidate> candidates) {
    List<PlacedUpstream> choices = new ArrayList<>(candidates.size());
    long nowMillis = loop.millis();
    double leftMillis = call.late() ? call.remainingMillis() : call.targetLeftMillis();
    for (Candidate candidate : candidates) {
      if (!knownFull(call, candidate, leftMillis, nowMillis)) {
        choices.add(candidate.choice());
      }
    }
    Optional<PlacedUpstream> chosen = chooser.choose(choices);
    if (chosen.isEmpty()) {
      return null;
    }
    for (Candidate candidate : candidates) {
      if (candidate.choice() == chosen.get()) {
        return candidate.placement();
      }
    }
    throw new IllegalStateException("chosen upstream is not a candidate: " + chosen.get());
  }

  Runnable run(EntryCall call, Placement placed, Consumer<RunEnd> listener) {
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
            call.reachedUpstream(),
            new HttpRequest(
                request.method(), request.target(), forwarded(request), request.body()));
    counters.placements++;
    return placed.peer() == null
        ? local.run(run, listener)
        : mesh.run(placed.peer(), run, listener);
  }

  void ended(EntryCall call, int status, EntryOutcome outcome, String why, NodeId node) {
    open--;
    long tookMillis = loop.millis() - call.exchange().receivedMillis();
    counters.ended(status, outcome, tookMillis);
    log(
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
        outcome.label(),
        "why",
        why.isEmpty() ? null : why,
        "readMillis",
        call.readMillis(),
        "serviceMillis",
        call.serviceMillis(),
        "tookMillis",
        tookMillis);
  }

  void log(String event, Exchange exchange, Object... details) {
    sink.emit(event, exchange.request().field(names.requestId()), details);
  }

  private record Candidate(Placement placement, PlacedUpstream choice) {}

  private List<Candidate> candidates(EntryCall call, VersionGroup group) {
    List<Candidate> all = new ArrayList<>();
    UpstreamLoad own = local.load();
    if (local.record() != null && own.limit() > 0) {
      addCandidate(
          all,
          call,
          group,
          new Placement(mesh.self().node(), null, local.record()),
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
        Placement placed = new Placement(peer.info.node(), peer, report.upstream());
        addCandidate(all, call, group, placed, peer.load, peer.inFlight());
      }
    }
    return all;
  }

  private void addCandidate(
      List<Candidate> all,
      EntryCall call,
      VersionGroup group,
      Placement placed,
      UpstreamLoad load,
      double inFlight) {
    UpstreamRecord upstream = placed.upstream();
    if (!upstream.service().equals(call.service())
        || upstream.draining()
        || load.limit() <= 0
        || withdrawn.contains(upstream.domain())
        || call.excluded(placed.node())
        || versions.group(call.service(), upstream.version()) != group
        || group == VersionGroup.FRESH && !versions.mayGetShare(upstream)) {
      return;
    }
    boolean sameDomain = upstream.domain().equals(mesh.self().domain());
    int bodyBytes = call.exchange().request().body().length;
    boolean offered = placed.peer() != null && bodyBytes >= SentRun.OFFERED_BYTES;
    double networkMillis =
        (sameDomain ? SAME_DOMAIN_MILLIS : CROSS_DOMAIN_MILLIS)
            + (offered ? load.bodyTransferMillis(bodyBytes) : 0);
    all.add(
        new Candidate(
            placed,
            new PlacedUpstream(
                placed.node(),
                inFlight,
                load.queuedAmple(),
                load.queuedLate(),
                load.limit(),
                upstream.slots() * UpstreamDispatcher.QUEUE_PER_SLOT,
                load.serviceMillis(),
                load.failureRate(),
                sameDomain,
                networkMillis,
                offered ? load.bodyWaitMillis() : 0)));
  }

  /** Returns whether an upstream's latest load, if recent, shows that it would refuse a request. */
  private boolean knownFull(
      EntryCall call, Candidate candidate, double leftMillis, long nowMillis) {
    Peer peer = candidate.placement().peer();
    boolean recent = peer == null || nowMillis - peer.loadMillis <= LOAD_FRESH_MILLIS;
    PlacedUpstream choice = candidate.choice();
    SlackClass slackClass = call.late() ? SlackClass.LATE : choice.slackClass(leftMillis);
    return recent && choice.full(slackClass, leftMillis);
  }

  private ServiceName nextService(TrafficRoute route) {
    if (route.services().size() == 1) {
      return route.services().get(0).service();
    }
    String key = route.host() + route.prefix();
    WeightedRoundRobin roundRobin = roundRobins.get(key);
    // A new configuration with the same weights keeps the position in the sequence.
    if (roundRobin == null || !roundRobin.services().equals(route.services())) {
      roundRobin = new WeightedRoundRobin(route.services(), random.nextInt(MAX_ROUND_ROBIN_OFFSET));
      roundRobins.put(key, roundRobin);
    }
    return roundRobin.next();
  }

  private long deadline(Exchange exchange, TrafficRoute route) {
    long timeoutMillis = route.timeoutMillis();
    String value = exchange.request().field(names.deadline());
    if (value != null && value.matches("\\d{1,9}")) {
      timeoutMillis = Math.min(timeoutMillis, Long.parseLong(value));
    }
    return exchange.receivedMillis() + timeoutMillis;
  }

  private List<HttpField> forwarded(HttpRequest request) {
    String connection = request.field(HttpHeader.CONNECTION.asString());
    List<HttpField> fields = new ArrayList<>(request.fields().size() + 4);
    for (HttpField field : request.fields()) {
      if (!HttpMessages.hopByHop(field, connection) && !setByEntry(field.getName())) {
        fields.add(field);
      }
    }
    fields.add(new HttpField(names.callerService(), callerService.value()));
    return fields;
  }

  private boolean setByEntry(String name) {
    return name.equalsIgnoreCase(names.callerService())
        || name.equalsIgnoreCase(names.deadline())
        || name.equalsIgnoreCase(names.expectedUpstream());
  }
}
