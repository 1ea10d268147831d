use std::time::Instant;
use tamarack_standins::sim::*;
fn main() {
    let shape =
        DocumentShape { data_centres: 15, seats: 7, teams: 220, services: 26, callers: 220 };
    let text = document_text(shape);
    let mut c = Cluster::new(ClusterOptions { data_centres: 15, entries: 7, seed: 1 }, &text);
    c.run_ms(30_000);
    let mut phase = |name: &str, c: &mut Cluster| {
        let t = Instant::now();
        let e = c.events();
        let k = c.store.reads() + c.store.writes();
        c.run_ms(20_000);
        println!(
            "{name} 20 s {:?} events {} calls {}",
            t.elapsed(),
            c.events() - e,
            c.store.reads() + c.store.writes() - k
        );
    };
    phase("rest", &mut c);
    c.kill(3);
    phase("dead", &mut c);
    c.restart(3);
    phase("restarted", &mut c);
    c.pause(5, 10_000);
    phase("paused", &mut c);
    c.faults.store_down = true;
    c.interrupt_watches(|_| true);
    phase("down", &mut c);
    c.faults.store_down = false;
    phase("up", &mut c);
    c.faults.isolated.insert(2);
    phase("isolated", &mut c);
    c.faults.without_platform.insert(2);
    c.interrupt_watches(|d| d == 2);
    phase("cut", &mut c);
    c.faults = Default::default();
    phase("healed", &mut c);
    c.faults.lost_replies = 0.05;
    c.faults.lost_messages = 0.02;
    phase("lossy", &mut c);
    for i in 0..5 {
        let base = c.position(0).revision;
        c.put(0, MEMBER_A, vec![service_edit(0, i, base)]);
        c.run_ms(1000);
    }
    phase("after changes", &mut c);
    let t = Instant::now();
    let s: Vec<_> = (0..105).map(|n| c.is_watcher(n)).collect();
    println!("{:?} {}", t.elapsed(), s.len());
}
