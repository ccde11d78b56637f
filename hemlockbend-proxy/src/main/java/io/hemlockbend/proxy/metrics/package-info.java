/** The counters and latency histograms of a node, as text for a scraper. */
package io.hemlockbend.proxy.metrics;
