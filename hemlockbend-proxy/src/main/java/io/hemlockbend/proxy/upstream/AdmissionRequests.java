package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.admission.AdmissionRequest;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.peer.RunRequest;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpField;

/** Converts run requests to admission requests and to the HTTP requests for the upstream. */
final class AdmissionRequests {
  private AdmissionRequests() {}

  /**
   * Returns the admission request of a run. A request that can still be answered in time waits no
   * longer than its target time; a late one has the lowest priority and runs when nothing else
   * waits.
   */
  static AdmissionRequest of(RunRequest run, RequestId fingerprint, long nowMillis) {
    boolean late = run.targetMillis() <= 0;
    long waitMillis = late ? run.remainingMillis() : run.targetMillis();
    return new AdmissionRequest(
        fingerprint,
        new RouteName(run.route()),
        run.version(),
        late ? Priority.BULK : priority(run.priority()),
        nowMillis + Math.min(waitMillis, run.remainingMillis()),
        Standing.CLEAR);
  }

  static HttpRequest toUpstream(RunRequest run, FieldNames names, long remainingMillis) {
    List<HttpField> fields = new ArrayList<>(run.http().fields().size() + 2);
    fields.addAll(run.http().fields());
    fields.add(new HttpField(names.deadline(), Long.toString(Math.max(1, remainingMillis))));
    fields.add(new HttpField(names.expectedUpstream(), run.upstream().value()));
    return new HttpRequest(run.http().method(), run.http().target(), fields, run.http().body());
  }

  private static Priority priority(int rank) {
    return rank <= 0 ? Priority.URGENT : Priority.NORMAL;
  }
}
