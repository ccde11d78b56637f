package io.hemlockbend.testkit.matrix;

/** The steps of a request, in their order. */
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
