//! Estimates of the output length distribution of each template.

use indexmap::IndexMap;

use crate::name::Name;

/// Buckets of a histogram, four for each doubling of the length.
const BUCKETS: usize = 68;
/// Samples at which all counts of a histogram are halved, so that old samples fade.
const WINDOW_SAMPLES: f32 = 512.0;
/// Weight, in samples, of the histogram of all templates as the prior of each one.
const PRIOR_SAMPLES: f32 = 8.0;
/// Templates with a histogram of their own; the oldest is dropped beyond this.
const MAX_TEMPLATES: usize = 4_096;

/// Output lengths of the templates of one pool.
#[derive(Clone, Debug)]
pub struct OutputLengths {
    overall: Histogram,
    curve: SurvivalCurve,
    templates: IndexMap<Name, TemplateLengths>,
}

/// Samples of one template and the curve derived from them.
#[derive(Clone, Debug)]
struct TemplateLengths {
    own: Histogram,
    curve: SurvivalCurve,
}

impl Default for OutputLengths {
    fn default() -> Self {
        Self::new()
    }
}

impl OutputLengths {
    /// Creates distributions in which all length buckets are equally likely.
    pub fn new() -> Self {
        let overall = Histogram::log_uniform();
        Self {
            curve: overall.curve(&Histogram::empty()),
            overall,
            templates: IndexMap::new(),
        }
    }

    /// Records an output that ended by itself after `tokens` tokens.
    pub fn record_complete(&mut self, template: &Name, tokens: u32) {
        self.record(template, |histogram| histogram.add(tokens));
    }

    /// Records an output that was stopped from outside after `tokens` tokens.
    ///
    /// Its full length is unknown (a right-censored sample), so the sample is
    /// distributed over the longer lengths in proportion to the survival curve.
    pub fn record_censored(&mut self, template: &Name, tokens: u32) {
        let curve = self.curve(template).clone();
        self.record(template, |histogram| histogram.add_censored(tokens, &curve));
    }

    /// Returns the survival curve of a template, or of the pool for an unknown one.
    pub fn curve(&self, template: &Name) -> &SurvivalCurve {
        self.templates
            .get(template)
            .map_or(&self.curve, |template_lengths| &template_lengths.curve)
    }

    fn record<Add>(&mut self, template: &Name, add: Add)
    where
        Add: Fn(&mut Histogram),
    {
        add(&mut self.overall);
        self.curve = self.overall.curve(&Histogram::empty());
        if self.templates.len() >= MAX_TEMPLATES && !self.templates.contains_key(template) {
            self.templates.shift_remove_index(0);
        }
        let template_lengths =
            self.templates
                .entry(template.clone())
                .or_insert_with(|| TemplateLengths {
                    own: Histogram::empty(),
                    curve: self.curve.clone(),
                });
        add(&mut template_lengths.own);
        template_lengths.curve = self.overall.curve(&template_lengths.own);
    }
}

/// Probability that an output reaches a length.
#[derive(Clone, Debug)]
pub struct SurvivalCurve {
    survivors: [f32; BUCKETS + 1],
}

impl SurvivalCurve {
    /// Returns the probability that an output with `generated` tokens so far reaches
    /// `length` tokens.
    pub fn survival(&self, generated: u32, length: u32) -> f32 {
        if length <= generated {
            return 1.0;
        }
        let at_generated = self.survivors_at(generated);
        if at_generated <= f32::EPSILON {
            return 0.5;
        }
        (self.survivors_at(length) / at_generated).clamp(0.0, 1.0)
    }

    /// Returns the expected number of tokens after the first `generated`, up to a
    /// length of `max_tokens`.
    pub fn expected_remaining_tokens(&self, generated: u32, max_tokens: u32) -> f32 {
        let first = bucket_index(generated);
        (first..BUCKETS)
            .map(|index| {
                (
                    bucket_start(index).max(generated),
                    bucket_start(index + 1).min(max_tokens),
                )
            })
            .filter(|(from, to)| from < to)
            .map(|(from, to)| {
                let mean_survival =
                    0.5 * (self.survival(generated, from) + self.survival(generated, to));
                mean_survival * (to - from) as f32
            })
            .sum()
    }

    fn survivors_at(&self, length: u32) -> f32 {
        let index = bucket_index(length);
        let from = bucket_start(index);
        let bucket_width = bucket_start(index + 1) - from;
        let fraction = (length - from).min(bucket_width) as f32 / bucket_width as f32;
        self.survivors[index] - (self.survivors[index] - self.survivors[index + 1]) * fraction
    }
}

/// Decaying counts of output lengths.
///
/// `survivors[i]` counts the outputs of at least `bucket_start(i)` tokens.
#[derive(Clone, Debug)]
struct Histogram {
    survivors: [f32; BUCKETS + 1],
}

impl Histogram {
    fn empty() -> Self {
        Self {
            survivors: [0.0; BUCKETS + 1],
        }
    }

    fn log_uniform() -> Self {
        let mut survivors = [0.0; BUCKETS + 1];
        survivors
            .iter_mut()
            .enumerate()
            .for_each(|(index, count)| *count = (BUCKETS - index) as f32 / BUCKETS as f32);
        Self { survivors }
    }

    /// Returns the curve of the samples in `own`, with this histogram as the prior.
    fn curve(&self, own: &Self) -> SurvivalCurve {
        let scale = PRIOR_SAMPLES / self.survivors[0];
        let mut survivors = self.survivors;
        survivors
            .iter_mut()
            .zip(own.survivors)
            .for_each(|(count, own)| *count = *count * scale + own);
        SurvivalCurve { survivors }
    }

    fn add(&mut self, tokens: u32) {
        self.decay();
        self.survivors[..=bucket_index(tokens)]
            .iter_mut()
            .for_each(|count| *count += 1.0);
    }

    fn add_censored(&mut self, tokens: u32, curve: &SurvivalCurve) {
        self.decay();
        self.survivors[..BUCKETS]
            .iter_mut()
            .enumerate()
            .for_each(|(index, count)| *count += curve.survival(tokens, bucket_start(index)));
    }

    fn decay(&mut self) {
        if self.survivors[0] >= WINDOW_SAMPLES {
            self.survivors.iter_mut().for_each(|count| *count *= 0.5);
        }
    }
}

fn bucket_index(length: u32) -> usize {
    if length < 4 {
        return length as usize;
    }
    let exponent = length.ilog2();
    let quarter = (length >> (exponent - 2)) & 3;
    let index = 4 * (exponent as usize - 1) + quarter as usize;
    index.min(BUCKETS - 1)
}

fn bucket_start(index: usize) -> u32 {
    if index < 4 {
        return index as u32;
    }
    let exponent = index / 4 + 1;
    let quarter = index % 4;
    ((4 + quarter) as u32) << (exponent - 2)
}
