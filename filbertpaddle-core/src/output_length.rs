//! Distribution of output lengths, learned for each template.

use indexmap::IndexMap;

use crate::name::Name;

/// Buckets of a histogram; four to each doubling of the length.
const BUCKETS: usize = 68;
/// Samples after which all counts of a histogram are halved.
const WINDOW_SAMPLES: f32 = 512.0;
/// Samples that the histogram of all templates counts for in each template.
const PRIOR_SAMPLES: f32 = 8.0;
/// Most templates that are remembered.
const TEMPLATES: usize = 4_096;

/// Output lengths of all templates of one pool.
#[derive(Clone, Debug)]
pub struct OutputLengths {
    all: Histogram,
    curve: SurvivalCurve,
    templates: IndexMap<Name, Learned>,
}

/// What is known of one template.
#[derive(Clone, Debug)]
struct Learned {
    own: Histogram,
    curve: SurvivalCurve,
}

impl Default for OutputLengths {
    fn default() -> Self {
        Self::new()
    }
}

impl OutputLengths {
    /// Creates distributions that expect every bucket of lengths alike.
    pub fn new() -> Self {
        let all = Histogram::log_uniform();
        Self {
            curve: all.curve(&Histogram::empty()),
            all,
            templates: IndexMap::new(),
        }
    }

    /// Learns an output that ended by itself after `tokens` tokens.
    pub fn ended(&mut self, template: &Name, tokens: u32) {
        self.learn(template, |histogram| histogram.add(tokens));
    }

    /// Learns an output that was cut off from outside after `tokens` tokens.
    ///
    /// The sample is spread over the greater lengths as the curve has them.
    pub fn cut(&mut self, template: &Name, tokens: u32) {
        let curve = self.curve(template).clone();
        self.learn(template, |histogram| histogram.add_cut(tokens, &curve));
    }

    /// Returns the lengths to expect of a template.
    pub fn curve(&self, template: &Name) -> &SurvivalCurve {
        self.templates
            .get(template)
            .map_or(&self.curve, |learned| &learned.curve)
    }

    fn learn<Add>(&mut self, template: &Name, add: Add)
    where
        Add: Fn(&mut Histogram),
    {
        add(&mut self.all);
        self.curve = self.all.curve(&Histogram::empty());
        if self.templates.len() >= TEMPLATES && !self.templates.contains_key(template) {
            self.templates.shift_remove_index(0);
        }
        let learned = self
            .templates
            .entry(template.clone())
            .or_insert_with(|| Learned {
                own: Histogram::empty(),
                curve: self.curve.clone(),
            });
        add(&mut learned.own);
        learned.curve = self.all.curve(&learned.own);
    }
}

/// The chance of an output to reach a length.
#[derive(Clone, Debug)]
pub struct SurvivalCurve {
    reach: [f32; BUCKETS + 1],
}

impl SurvivalCurve {
    /// Returns the chance that an output of `out` tokens so far reaches `length`.
    pub fn reach(&self, out: u32, length: u32) -> f32 {
        if length <= out {
            return 1.0;
        }
        let base = self.count(out);
        if base <= f32::EPSILON {
            return 0.5;
        }
        (self.count(length) / base).clamp(0.0, 1.0)
    }

    /// Returns the expected number of tokens still to come after `out`.
    pub fn remaining_tokens(&self, out: u32, max_tokens: u32) -> f32 {
        let first = bucket(out);
        (first..BUCKETS)
            .map(|index| (lower(index).max(out), lower(index + 1).min(max_tokens)))
            .filter(|(from, to)| from < to)
            .map(|(from, to)| {
                let mean = 0.5 * (self.reach(out, from) + self.reach(out, to));
                mean * (to - from) as f32
            })
            .sum()
    }

    fn count(&self, length: u32) -> f32 {
        let index = bucket(length);
        let from = lower(index);
        let width = lower(index + 1) - from;
        let part = (length - from).min(width) as f32 / width as f32;
        self.reach[index] - (self.reach[index] - self.reach[index + 1]) * part
    }
}

/// Decaying counts; `reach[i]` counts the outputs of at least `lower(i)` tokens.
#[derive(Clone, Debug)]
struct Histogram {
    reach: [f32; BUCKETS + 1],
}

impl Histogram {
    fn empty() -> Self {
        Self {
            reach: [0.0; BUCKETS + 1],
        }
    }

    fn log_uniform() -> Self {
        let mut reach = [0.0; BUCKETS + 1];
        reach
            .iter_mut()
            .enumerate()
            .for_each(|(index, count)| *count = (BUCKETS - index) as f32 / BUCKETS as f32);
        Self { reach }
    }

    /// Returns the curve of `own` samples with these as its prior.
    fn curve(&self, own: &Self) -> SurvivalCurve {
        let scale = PRIOR_SAMPLES / self.reach[0];
        let mut reach = self.reach;
        reach
            .iter_mut()
            .zip(own.reach)
            .for_each(|(count, own)| *count = *count * scale + own);
        SurvivalCurve { reach }
    }

    fn add(&mut self, tokens: u32) {
        self.decay();
        self.reach[..=bucket(tokens)]
            .iter_mut()
            .for_each(|count| *count += 1.0);
    }

    fn add_cut(&mut self, tokens: u32, curve: &SurvivalCurve) {
        self.decay();
        self.reach[..BUCKETS]
            .iter_mut()
            .enumerate()
            .for_each(|(index, count)| *count += curve.reach(tokens, lower(index)));
    }

    fn decay(&mut self) {
        if self.reach[0] >= WINDOW_SAMPLES {
            self.reach.iter_mut().for_each(|count| *count *= 0.5);
        }
    }
}

fn bucket(length: u32) -> usize {
    if length < 4 {
        return length as usize;
    }
    let exponent = length.ilog2();
    let quarter = (length >> (exponent - 2)) & 3;
    let index = 4 * (exponent as usize - 1) + quarter as usize;
    index.min(BUCKETS - 1)
}

fn lower(index: usize) -> u32 {
    if index < 4 {
        return index as u32;
    }
    let exponent = index / 4 + 1;
    let quarter = index % 4;
    ((4 + quarter) as u32) << (exponent - 2)
}
