package io.hemlockbend.node.settings;

import java.util.Locale;
import java.util.Optional;

/** The settings of a node: flag, environment variable, default, format and description. */
public enum Setting {
  /** The name of the node. */
  NODE_ID("node-id", null, Format.NAME, "Name of this node; stays the same over restarts."),
  /** The region. */
  REGION("region", "default", Format.NAME, "Region that this node runs in."),
  /** The failure domain. */
  FAILURE_DOMAIN("failure-domain", null, Format.NAME, "Failure domain that this node runs in."),
  /** The address of all listeners. */
  HOST("host", "127.0.0.1", Format.HOST, "IP address that all listeners bind and announce."),
  /** The port for callers. */
  CALLER_PORT("caller-port", "8080", Format.PORT, "Port for callers' HTTP requests."),
  /** The port for requests from other nodes. */
  MESH_PORT("mesh-port", "8081", Format.PORT, "Port for HTTP requests from other nodes."),
  /** The port for control messages. */
  CONTROL_PORT("control-port", "8082", Format.PORT, "Port for control messages of other nodes."),
  /** The port for operators, metrics, health and announcements. */
  ADMIN_PORT(
      "admin-port",
      "8083",
      Format.PORT,
      "Port for the administration API, metrics, health and upstream announcements."),
  /** The base URI of the platform. */
  PLATFORM_URI(
      "platform-uri", null, Format.URI, "URI of the platform's table service and object store."),
  /** The time-out of a platform call. */
  PLATFORM_TIMEOUT_MILLIS(
      "platform-timeout-millis",
      "2000",
      Format.MILLIS,
      "Longest wait for an answer from the platform, in milliseconds."),
  /** Nodes to join through. */
  SEEDS(
      "seeds",
      "",
      Format.ADDRESSES,
      "Control addresses of some nodes to join through, as host:port,host:port."),
  /** The time-out until the first byte of the answer to a safe request. */
  ATTEMPT_TIMEOUT_MILLIS(
      "attempt-timeout-millis",
      "2000",
      Format.MILLIS,
      "Longest wait for the first byte of the answer to a safe request, in milliseconds."),
  /** The time limit of a request without deadline, and upper bound of all deadlines. */
  REQUEST_TIMEOUT_MILLIS(
      "request-timeout-millis",
      "10000",
      Format.MILLIS,
      "Time limit of a request without deadline, and upper bound of all deadlines, in"
          + " milliseconds."),
  /** The largest body that is buffered. */
  BUFFER_BYTES(
      "buffer-bytes",
      "65536",
      Format.BYTES,
      "Largest body that is buffered, in bytes; larger ones are streamed."),
  /** The time until an upstream without announcements counts as down. */
  ANNOUNCEMENT_MILLIS(
      "announcement-millis",
      "2000",
      Format.MILLIS,
      "An upstream counts as down this long after its last announcement, in milliseconds."),
  /** The maximum wait for requests in flight at shutdown. */
  DRAIN_MILLIS(
      "drain-millis",
      "10000",
      Format.MILLIS,
      "Longest wait for requests in flight when the node stops, in milliseconds."),
  /** The maximum number of threads that serve requests. */
  TRAFFIC_THREADS(
      "traffic-threads",
      "24",
      Format.THREADS,
      "Maximum number of threads that serve requests, 8 to 256."),
  /** The tokens of operators. */
  TOKENS(
      "tokens",
      "",
      Format.TOKENS,
      "Operators' tokens as token=role:team[:name], separated by commas; role is reader or"
          + " operator, team * may change everything; a token may be given as sha256:digits.");

  private final String flag;
  private final String defaultValue;
  private final Format format;
  private final String description;

  Setting(String flag, String defaultValue, Format format, String description) {
    this.flag = flag;
    this.defaultValue = defaultValue;
    this.format = format;
    this.description = description;
  }

  /** Returns the command-line flag, with its leading dashes. */
  public String flag() {
    return "--" + flag;
  }

  /** Returns the name of the environment variable. */
  public String variable() {
    return "HEMLOCKBEND_" + flag.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  /** Returns the default; empty when the setting is required. */
  public Optional<String> defaultValue() {
    return Optional.ofNullable(defaultValue);
  }

  /** Returns the format and range of the value. */
  public Format format() {
    return format;
  }

  /** Returns the description for the help text, with the unit. */
  public String description() {
    return description;
  }
}
