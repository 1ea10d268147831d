//! Sums over observed durations that lose weight with time.

/// Half-life of the evidence, in milliseconds: ten minutes, about a hundred runs
/// of a kind whose tasks take seconds. A belief without new evidence ends after
/// two to four half-lives.
pub(super) const HALF_LIFE_MS: u64 = 600_000;
/// Step in which evidence decays, in milliseconds: a sixtieth of the half-life,
/// so that an ended run seldom computes a power. The steps are aligned, and sums
/// may therefore be subtracted from each other.
const DECAY_STEP_MS: u64 = HALF_LIFE_MS / 60;

/// Ways in which a run's duration is predicted.
pub(super) const PREDICTORS: usize = 2;

/// Natural logarithm of a duration relative to each prediction: to the same
/// duration for each run of the kind, and to the declared duration. A kind uses
/// the one that varies less between its runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Sample(pub(super) [f64; PREDICTORS]);

impl Sample {
    pub(super) fn new(ran_ms: u64, declared_ms: u32) -> Self {
        let ran = (ran_ms.max(1) as f64).ln();
        Self([ran, ran - f64::from(declared_ms.max(1)).ln()])
    }

    pub(super) fn minus(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|at| self.0[at] - other.0[at]))
    }

    pub(super) fn plus(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|at| self.0[at] + other.0[at]))
    }

    /// Limits each difference to `max` in both directions.
    pub(super) fn clamped(&self, max: f64) -> Self {
        Self(self.0.map(|value| value.clamp(-max, max)))
    }
}

/// Decaying weight, sum and sum of squares of samples.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Moments {
    weight: f64,
    sum: [f64; PREDICTORS],
    squares: [f64; PREDICTORS],
    decay_step: u64,
}

impl Moments {
    /// Reduces the weight of what was added before.
    pub(super) fn decay(&mut self, now_ms: u64) {
        let decay_step = now_ms / DECAY_STEP_MS;
        let steps = decay_step.saturating_sub(self.decay_step);
        if steps > 0 {
            self.decay_step = decay_step;
            self.scale((-(steps as f64) * DECAY_STEP_MS as f64 / HALF_LIFE_MS as f64).exp2());
        }
    }

    /// Changes the weight of all samples.
    pub(super) fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum = self.sum.map(|value| value * factor);
        self.squares = self.squares.map(|value| value * factor);
    }

    pub(super) fn add(&mut self, now_ms: u64, sample: &Sample) {
        self.decay(now_ms);
        self.weight += 1.0;
        for (at, value) in sample.0.iter().enumerate() {
            self.sum[at] += value;
            self.squares[at] += value * value;
        }
    }

    /// Reduces the weight to at most `max`; returns the factor.
    pub(super) fn limit(&mut self, max: f64) -> f64 {
        let factor = (max / self.weight.max(max)).min(1.0);
        if factor < 1.0 {
            self.scale(factor);
        }
        factor
    }

    /// Returns the sums without those of `part`; both have decayed to the same
    /// time.
    pub(super) fn without(&self, part: &Self) -> Self {
        Self {
            weight: (self.weight - part.weight).max(0.0),
            sum: std::array::from_fn(|at| self.sum[at] - part.sum[at]),
            squares: std::array::from_fn(|at| self.squares[at] - part.squares[at]),
            decay_step: self.decay_step,
        }
    }

    pub(super) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the mean of the samples; zero without any.
    pub(super) fn mean(&self) -> Sample {
        let weight = self.weight.max(f64::MIN_POSITIVE);
        Sample(self.sum.map(|sum| sum / weight))
    }

    /// Returns the sample variance by predictor.
    pub(super) fn variance(&self) -> [f64; PREDICTORS] {
        let mean = self.mean();
        let bessel = if self.weight > 1.5 { self.weight / (self.weight - 1.0) } else { 1.0 };
        std::array::from_fn(|at| {
            let square = self.squares[at] / self.weight.max(f64::MIN_POSITIVE);
            ((square - mean.0[at] * mean.0[at]) * bessel).max(0.0)
        })
    }
}
