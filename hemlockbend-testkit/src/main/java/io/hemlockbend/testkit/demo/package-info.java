/** Shows the main job on embedded stand-ins: stage, commit, move, take back, withdraw, restore. */
package io.hemlockbend.testkit.demo;
