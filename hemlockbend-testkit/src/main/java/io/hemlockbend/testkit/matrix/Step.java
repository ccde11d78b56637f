package io.hemlockbend.testkit.matrix;

/** The steps of a request, in order. */
enum Step {
  CHOOSE,
  CONNECT,
  SEND,
  ADMIT,
  CLAIM,
  RUN,
  ANSWER_FIRST_BYTE,
  ANSWER_MIDDLE,
  ANSWER_END
}
