package io.hemlockbend.node.control;

import io.hemlockbend.node.admission.AdmissionService;
import io.hemlockbend.platform.ObjectStore;
import io.hemlockbend.platform.TableService;
import io.hemlockbend.wire.PeerConnections;

/**
 * What the control loop drives.
 *
 * @param state the control state
 * @param peers sends messages
 * @param published hands the routing table to traffic threads
 * @param admission guards the upstream beside this node
 * @param table the platform's table
 * @param store the platform's object store
 * @param applied hears of configurations put in force
 */
public record ControlParts(
    ControlState state,
    PeerConnections peers,
    PublishedTable published,
    AdmissionService admission,
    TableService table,
    ObjectStore store,
    ApplyListener applied) {}
