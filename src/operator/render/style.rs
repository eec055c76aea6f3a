//! The style sheet of the page.

/// The style sheet of the page, for narrow and wide screens and for light and dark themes.
pub(super) const STYLE: &str = "
:root{color-scheme:light dark;--ink:#1d2330;--soft:#5b6475;--line:#d9dee7;--card:#fff;--back:#f4f6f9;
--good:#1a7f4b;--warn:#a86400;--bad:#b3261e;--bar:#4a7bd0}
@media(prefers-color-scheme:dark){:root{--ink:#e8ebf1;--soft:#a4adbd;--line:#38404e;--card:#1e242e;
--back:#14181f;--good:#4cc38a;--warn:#f0a93b;--bad:#ff7b72;--bar:#7aa5ee}}
*{box-sizing:border-box}
body{margin:0;background:var(--back);color:var(--ink);font:16px/1.45 system-ui,sans-serif}
main{max-width:70rem;margin:0 auto;padding:1rem}
.verdict{border-radius:.6rem;padding:1rem 1.1rem;color:#fff;font-size:1.25rem;font-weight:600;
margin:0 0 .4rem}
.good{background:#1a7f4b}.attention{background:#8a5200}.bad{background:#b3261e}
.made{color:var(--soft);font-size:.85rem;margin:0 0 1rem}
section{background:var(--card);border:1px solid var(--line);border-radius:.6rem;padding:.9rem 1rem;
margin:0 0 1rem}
h2{font-size:1.05rem;margin:0 0 .6rem}
.facts{display:grid;grid-template-columns:repeat(auto-fit,minmax(9.5rem,1fr));gap:.7rem;margin:0}
.facts div{border-left:3px solid var(--line);padding-left:.6rem}
.facts div.warn{border-color:var(--warn)}.facts div.alarm{border-color:var(--bad)}
dt{color:var(--soft);font-size:.85rem}
dd{margin:0;font-size:1.3rem;font-weight:600;font-variant-numeric:tabular-nums}
dd small{display:block;font-size:.8rem;font-weight:400;color:var(--soft)}
.wide{overflow-x:auto}
table{border-collapse:collapse;width:100%;font-size:.92rem}
th{color:var(--soft);font-weight:500;text-align:left;font-size:.82rem;vertical-align:bottom}
th,td{padding:.35rem .6rem .35rem 0;border-bottom:1px solid var(--line)}
tr:last-child td{border-bottom:0}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums;white-space:nowrap}
td.name{font-weight:600;overflow-wrap:anywhere}
.off{color:var(--bad);font-weight:600}.late{color:var(--warn);font-weight:600}
.note{color:var(--soft);font-size:.85rem;margin:.5rem 0 0}
details{margin-top:.6rem}summary{cursor:pointer;color:var(--soft)}
ul{margin:.3rem 0 0;padding-left:1.1rem}li{margin:.25rem 0}
section.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(17rem,1fr));gap:1rem 2rem}
svg{display:block;width:100%;max-width:44rem;height:auto}
svg text{fill:var(--soft);font-size:11px}
@media(max-width:40rem){
table.cards thead{display:none}
table.cards tr{display:grid;grid-template-columns:1fr 1fr;gap:.1rem .8rem;padding:.5rem 0;
border-bottom:1px solid var(--line)}
table.cards tr:last-child{border-bottom:0}
table.cards td{border:0;padding:.05rem 0;text-align:left;white-space:normal}
table.cards td.name{grid-column:1/-1;font-size:1rem}
table.cards td[data-label]::before{content:attr(data-label);display:block;color:var(--soft);
font-size:.78rem;font-weight:400}
}
";
