//! Interface between the simulation and the load balancers of a zone's nodes.

use brookfield::{Action, Balancer, Event, Nanos};
use serde_json::Value;

/// The load balancers of one zone's nodes, indexed by node.
pub trait BalancerSet: Send {
    /// Starts a node. [`Event::Start`] and the first backend list follow.
    fn open(&mut self, node: usize, settings: &Value, seed: u64, now: Nanos) -> Result<(), String>;

    /// The node's process has ended.
    fn close(&mut self, node: usize);

    /// Handles an event of a node. The resulting actions are appended here or in [`BalancerSet::flush`].
    fn handle(&mut self, node: usize, now: Nanos, event: Event, actions: &mut Vec<(usize, Action)>);

    /// Called after all events of one point in time.
    fn flush(&mut self, now: Nanos, actions: &mut Vec<(usize, Action)>) -> Result<(), String>;
}

/// Load balancers of this build, run in process.
#[derive(Default)]
pub struct LocalBalancers {
    nodes: Vec<Option<Balancer>>,
    action_buffer: Vec<Action>,
}

impl BalancerSet for LocalBalancers {
    fn open(&mut self, node: usize, settings: &Value, seed: u64, now: Nanos) -> Result<(), String> {
        let parsed = brookfield_settings::parse(settings)?;
        let balancer = Balancer::new(parsed.settings, seed, now).map_err(|error| error.to_string())?;
        if self.nodes.len() <= node {
            self.nodes.resize_with(node + 1, || None);
        }
        self.nodes[node] = Some(balancer);
        Ok(())
    }

    fn close(&mut self, node: usize) {
        self.nodes.get_mut(node).into_iter().for_each(|balancer| *balancer = None);
    }

    fn handle(&mut self, node: usize, now: Nanos, event: Event, actions: &mut Vec<(usize, Action)>) {
        if let Some(balancer) = self.nodes.get_mut(node).and_then(Option::as_mut) {
            balancer.handle(now, event, &mut self.action_buffer);
            actions.extend(self.action_buffer.drain(..).map(|action| (node, action)));
        }
    }

    fn flush(&mut self, _: Nanos, _: &mut Vec<(usize, Action)>) -> Result<(), String> {
        Ok(())
    }
}
