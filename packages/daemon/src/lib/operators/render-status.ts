/** Renders an entry's status as one plain HTML page without scripts. */
import type { EntryStatus } from './status.js';

const MS_PER_SECOND = 1000;

const STYLE = `body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:64rem;padding:0 1rem;color:#1c2330}
h1{font-size:1.4rem}h2{font-size:1.05rem;margin:1.6rem 0 .4rem}
table{border-collapse:collapse;width:100%}th,td{text-align:left;padding:.25rem .7rem .25rem 0;border-bottom:1px solid #d9dee7}
th{font-weight:600;color:#55607a}td.n{text-align:right;font-variant-numeric:tabular-nums}
.ok{color:#17683a}.bad{color:#a3261d}.none{color:#77809a}`;

/** Escapes text for HTML. */
function formatEscaped(value: unknown): string {
  return String(value)
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

/** Renders one table cell; numbers are aligned to the right. */
function renderCell(value: unknown): string {
  const attribute = typeof value === 'number' ? ' class="n"' : '';
  return `<td${attribute}>${formatEscaped(value)}</td>`;
}

/** Renders a table, or `none` when it has no rows. */
function renderTable(headings: readonly string[], rows: readonly (readonly unknown[])[]): string {
  if (rows.length === 0) return '<p class="none">none</p>';
  const head = headings.map((name) => `<th scope="col">${formatEscaped(name)}</th>`).join('');
  const body = rows.map((row) => `<tr>${row.map(renderCell).join('')}</tr>`).join('\n');
  return `<table><thead><tr>${head}</tr></thead><tbody>\n${body}\n</tbody></table>`;
}

/** Renders whether the entry is ready or draining. */
function renderReadiness(status: EntryStatus): string {
  if (status.isDraining) return '<span class="bad">draining</span>';
  if (status.isReady) return '<span class="ok">ready</span>';
  return '<span class="bad">not ready</span>';
}

/** Renders the status page. */
export function renderStatus(status: EntryStatus): string {
  const entries = [
    [status.id, 'this entry', status.appliedOffset],
    ...status.peers.map(({ id, isLive, appliedOffset }) => [
      id,
      isLive ? 'live' : 'silent',
      appliedOffset,
    ]),
  ];
  const upstreams = status.upstreams.map(({ id, service, state, inFlight }) => [
    service,
    id,
    state,
    inFlight,
  ]);
  const refusals = status.refusals.map(({ team, urgency, code, count }) => [
    team,
    urgency,
    code,
    count,
  ]);
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${formatEscaped(status.id)} – vanilladock</title>
<meta http-equiv="refresh" content="5"><style>${STYLE}</style></head><body>
<h1>${formatEscaped(status.id)} <small>${formatEscaped(status.dataCentre)}</small> – ${renderReadiness(status)}</h1>
<p>Configuration version ${status.configVersion}, published by ${formatEscaped(status.configAuthor || 'nobody yet')}.
${status.answers} requests answered in ${Math.round(status.uptimeMs / MS_PER_SECOND)} s.</p>
<h2>Entries</h2>${renderTable(['entry', 'state', 'applied log offset'], entries)}
<h2>Upstreams</h2>${renderTable(['service', 'upstream', 'state', 'requests in progress'], upstreams)}
<h2>Leaving instances</h2>${renderTable(
    ['instance'],
    status.leaving.map((id) => [id]),
  )}
<h2>Refusals</h2>${renderTable(['team', 'urgency', 'code', 'count'], refusals)}
</body></html>
`;
}
