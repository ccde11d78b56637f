package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;

/**
 * An upstream that is eligible for requests of its version.
 *
 * @param upstream the upstream
 * @param node the node beside it
 * @param key its service and version
 * @param domain its failure domain
 * @param mesh the address at which its node accepts requests from other nodes
 * @param slots concurrent requests that it runs when warm
 * @param sharePermille permille of its regular traffic that it may get, 1 to 1000; below 1000 while
 *     its failure domain is being restored
 */
public record Candidate(
    UpstreamId upstream,
    NodeId node,
    VersionKey key,
    FailureDomain domain,
    NodeAddress mesh,
    int slots,
    int sharePermille) {}
