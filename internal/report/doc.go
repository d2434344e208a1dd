// Package report shows results of emulator runs: as one self-contained HTML page with tables and plots, and each plot
// as an SVG or PNG picture. The page holds no scripts and refers to nothing outside itself.
package report
