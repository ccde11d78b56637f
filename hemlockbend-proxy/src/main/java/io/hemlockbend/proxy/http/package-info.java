/**
 * HTTP/1.1 connections with callers and upstreams on the event loop, with Jetty's parser. Messages
 * are whole: a request is handed on, and an answer is given back, once its last byte is there.
 */
package io.hemlockbend.proxy.http;
