//! A surge of five times the pool's capacity in virtual time, on the pool's own
//! engine.

use crate::replay::admission::{Rejecting, SurgeCounts, SurgeMix, replay_surges};

#[test]
fn print_figures() {
    for mix in [SurgeMix::OneQueue, SurgeMix::TwoQueues] {
        for rejecting in [Rejecting::Never, Rejecting::Known] {
            let counts = replay_surges(1, 2, mix, rejecting);
            let SurgeCounts {
                jobs,
                in_time,
                late,
                useless,
                given_up,
                rejections,
                rejected_with_room,
                useless_core_ms,
                judged_useless,
                judged_wrongly,
                ..
            } = counts;
            println!(
                "{mix:?} {rejecting:?} jobs {jobs} in {in_time} late {late} useless {useless} given up {given_up} rej {rejections} room {rejected_with_room} work {useless_core_ms} judged {} wrong {judged_wrongly}",
                judged_useless.len()
            );
        }
    }
}
