package io.hemlockbend.node.control;

import io.hemlockbend.node.admission.AdmissionService;
import io.hemlockbend.platform.ObjectStore;
import io.hemlockbend.platform.TableService;
import io.hemlockbend.wire.PeerConnections;

/**
 * The components of the control loop.
 *
 * @param state the control state
 * @param peers sends messages
 * @param published publishes the routing table to traffic threads
 * @param admission admits requests to the upstream beside this node
 * @param table the platform's table
 * @param store the platform's object store
 * @param applyListener receives the configurations put in force or refused
 */
public record ControlComponents(
    ControlState state,
    PeerConnections peers,
    PublishedTable published,
    AdmissionService admission,
    TableService table,
    ObjectStore store,
    ApplyListener applyListener) {}
