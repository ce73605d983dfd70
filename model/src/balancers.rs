//! The decisions of a zone's nodes, as virtual time calls them.

use brookfield::{Action, Balancer, Event, Nanos};
use serde_json::Value;

/// What decides for the nodes of one zone. A node is known by its position among them.
pub trait BalancerSet: Send {
    /// A node starts; it gets [`Event::Start`] and its first list after this.
    fn open(&mut self, node: usize, settings: &Value, seed: u64, now: Nanos) -> Result<(), String>;

    /// A node's process has ended.
    fn close(&mut self, node: usize);

    /// A node hears something. What it wants is added at once, or at the next [`Module::flush`].
    fn handle(&mut self, node: usize, now: Nanos, event: Event, actions: &mut Vec<(usize, Action)>);

    /// Ends the events of one moment.
    fn flush(&mut self, now: Nanos, actions: &mut Vec<(usize, Action)>) -> Result<(), String>;
}

/// This build's own decisions.
#[derive(Default)]
pub struct LocalBalancers {
    nodes: Vec<Option<Balancer>>,
    action_buffer: Vec<Action>,
}

impl BalancerSet for LocalBalancers {
    fn open(&mut self, node: usize, settings: &Value, seed: u64, now: Nanos) -> Result<(), String> {
        let site = brookfield_settings::parse(settings)?;
        let balancer = Balancer::new(site.settings, seed, now).map_err(|error| error.to_string())?;
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
