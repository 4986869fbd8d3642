#!/usr/bin/env bash
# Plots the CSV written by `utils/bench.sh tail` or `hotspot` to a PNG file.
set -euo pipefail
csv=${1:-}
png=${2:-${csv%.csv}.png}
if [ -z "$csv" ] || [ ! -r "$csv" ]; then
  echo "usage: utils/plot.sh CSV [PNG]" >&2
  exit 2
fi
common="set datafile separator ','
set terminal pngcairo size 1200,900
set output '$png'
set grid
set key outside top center horizontal noenhanced"

plot_tail() {
  gnuplot <<END
$common
set style data points
set pointsize 1.5
set xtics rotate by -30 noenhanced
set offsets 0.5, 0.5, 0, 0
set multiplot layout 2,1
set ylabel 'latency of the fan-out, ms (log)'
set logscale y
plot '$csv' skip 1 using 0:3:xtic(2) title 'p50' pt 7, \
  '' skip 1 using 0:4 title 'p99' pt 7, '' skip 1 using 0:5 title 'p99.9'
unset logscale y
set ylabel 'percent'
set yrange [0:*]
plot '$csv' skip 1 using 0:(\$7*100):xtic(2) title 'extra sub-requests', \
  '' skip 1 using 0:((1-\$6)*100) title 'incomplete'
END
}

plot_hotspot() {
  local variants
  mapfile -t variants < <(tail -n +2 "$csv" | cut -d, -f2 | awk '!seen[$0]++')
  {
    echo "$common"
    echo "set xlabel 'second'; set ylabel 'share of attempts'; set yrange [0:1]"
    echo "set multiplot layout ${#variants[@]},1"
    for variant in "${variants[@]}"; do
      echo "set title '$variant' noenhanced"
      echo "plot for [r=1:3] '$csv' skip 1 using 3:((strcol(2) eq '$variant' && \$1 == 0) ? column(3+r) : NaN) with linespoints title sprintf('replica %d', r)"
    done
    echo "unset multiplot"
  } | gnuplot
}

case $(head -n 1 "$csv") in
  run,variant,p50,*) plot_tail ;;
  run,variant,second,*) plot_hotspot ;;
  *)
    echo "$csv: not a CSV of utils/bench.sh tail or hotspot (unknown header)" >&2
    exit 2
    ;;
esac
echo "wrote $png"
