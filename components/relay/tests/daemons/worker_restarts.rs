//! Workers that restart under their ids, and the fencing tokens of calls to them.

use googletest::prelude::*;

use crate::{eventually, start_fleet, submit_job, wait_for_completion};

// Guards against calls for an earlier incarnation that a worker takes for those of a later ownership.
#[gtest]
#[tokio::test]
async fn a_shard_that_is_taken_over_again_has_a_token_above_those_for_restarted_workers() {
    let (platform, fleet) = start_fleet(1).await;
    let token = |worker: &str| platform.state.lock().workers[worker].fencing_token;
    submit_job(&fleet[0].node, 1).await;
    wait_for_completion(&fleet[0].node, 1).await;
    let epoch = token("w1");
    for raised in epoch + 1..=epoch + 3 {
        platform.state.lock().workers.get_mut("w0").expect("a worker").restart();
        eventually("the token is raised", || async { token("w0") == raised }).await;
    }
    // As if another owner had called.
    platform.state.lock().workers.get_mut("w1").expect("a worker").fencing_token = epoch + 1;
    eventually("the shard is taken over again", || async { token("w1") > epoch + 1 }).await;
    expect_that!(token("w1"), gt(epoch + 3));
    submit_job(&fleet[0].node, 2).await;
    wait_for_completion(&fleet[0].node, 2).await;
}
