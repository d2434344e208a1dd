// Package report renders results of emulator runs as a self-contained HTML page with tables and plots, and single plots
// as SVG or PNG pictures. The page contains no scripts and no references to other files.
package report
