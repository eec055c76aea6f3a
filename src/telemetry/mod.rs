//! Counters, histograms and their export.
