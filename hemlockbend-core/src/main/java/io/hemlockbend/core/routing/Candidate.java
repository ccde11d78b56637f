package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;

/**
 * An upstream that may be chosen.
 *
 * @param upstream the upstream
 * @param node the node beside it
 * @param key the service and version that it answers for
 * @param domain its failure domain
 * @param mesh where its node takes requests from other nodes
 * @param slots how many requests it runs at once when warm
 * @param sharePermille how much of its fair share of traffic it may get, 1 to 1000; less than all
 *     while its failure domain is being restored
 */
public record Candidate(
    UpstreamId upstream,
    NodeId node,
    VersionKey key,
    FailureDomain domain,
    NodeAddress mesh,
    int slots,
    int sharePermille) {}
