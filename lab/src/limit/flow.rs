//! Maximum-value flow in a graph with capacities, by successive best paths.

use std::collections::VecDeque;

/// Values closer than this are equal, so that rounding does not cause endless improvements.
const EPSILON: f64 = 1e-9;

#[derive(Debug, Clone, Copy)]
struct Edge {
    to: usize,
    capacity: f64,
    value: f64,
}

/// A directed graph. Each edge has a capacity and a value per unit of flow.
#[derive(Debug)]
pub struct Graph {
    /// Each edge is followed by its reverse.
    edges: Vec<Edge>,
    outgoing: Vec<Vec<usize>>,
}

impl Graph {
    /// Creates a graph without edges.
    pub fn new(nodes: usize) -> Self {
        Self { edges: Vec::new(), outgoing: vec![Vec::new(); nodes] }
    }

    /// Adds an edge and returns its index.
    pub fn add(&mut self, from: usize, to: usize, capacity: f64, value: f64) -> usize {
        let index = self.edges.len();
        self.edges.push(Edge { to, capacity, value });
        self.edges.push(Edge { to: from, capacity: 0.0, value: -value });
        self.outgoing[from].push(index);
        self.outgoing[to].push(index + 1);
        index
    }

    /// Returns the flow over an edge.
    pub fn flow(&self, edge: usize) -> f64 {
        self.edges[edge ^ 1].capacity
    }

    /// Finds the flow of the highest value from one node to another.
    pub fn maximize(&mut self, from: usize, to: usize) {
        while let Some(path) = self.best_path(from, to) {
            let amount =
                path.iter().map(|&edge| self.edges[edge].capacity).fold(f64::MAX, f64::min);
            for edge in path {
                self.edges[edge].capacity -= amount;
                self.edges[edge ^ 1].capacity += amount;
            }
        }
    }

    /// Returns the edges of the path of the highest value, if that is above zero.
    fn best_path(&self, from: usize, to: usize) -> Option<Vec<usize>> {
        let mut best = vec![f64::NEG_INFINITY; self.outgoing.len()];
        let mut last_edge = vec![None; self.outgoing.len()];
        let mut queued = vec![false; self.outgoing.len()];
        let mut queue = VecDeque::from([from]);
        best[from] = 0.0;
        while let Some(node) = queue.pop_front() {
            queued[node] = false;
            for &index in &self.outgoing[node] {
                let Edge { to, capacity, value } = self.edges[index];
                if capacity > EPSILON && best[node] + value > best[to] + EPSILON {
                    best[to] = best[node] + value;
                    last_edge[to] = Some(index);
                    if !std::mem::replace(&mut queued[to], true) {
                        queue.push_back(to);
                    }
                }
            }
        }
        if best[to] <= EPSILON {
            return None;
        }
        let mut path = Vec::new();
        let mut node = to;
        while let Some(edge) = last_edge[node] {
            path.push(edge);
            node = self.edges[edge ^ 1].to;
        }
        Some(path)
    }
}
