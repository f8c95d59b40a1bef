import { Sheet } from "/sheet.js";

const pollMillis = 1000;
const fleetPollMillis = 5000;
const pendingPrefix = "tamarindring.pending.";
const sheet = new Sheet();
const $ = (id) => document.getElementById(id);

function element(name, text = "", className = "") {
  const made = document.createElement(name);
  if (text !== "") made.textContent = text;
  if (className) made.className = className;
  return made;
}

function say(text, bad = false) {
  $("message").textContent = text;
  $("message").className = bad ? "bad" : "";
  $("message").hidden = text === "";
}

async function read(path) {
  const response = await fetch(path);
  const body = await response.json();
  if (!response.ok) throw new Error(body.error);
  return body;
}

// ---------------------------------------------------------------- changes

// A change is kept in the browser until its answer is known, so that one whose answer was lost can be sent
// again with the same id: it is made at most once.
function newChangeID() {
  return [...crypto.getRandomValues(new Uint8Array(16))].map((byte) => byte.toString(16).padStart(2, "0")).join("");
}

function keep(change) { localStorage.setItem(pendingPrefix + change.change_id, JSON.stringify(change)); }
function drop(change) { localStorage.removeItem(pendingPrefix + change.change_id); }
function keptChanges() {
  return Object.keys(localStorage).filter((key) => key.startsWith(pendingPrefix)).map((key) => JSON.parse(localStorage.getItem(key)));
}

const sending = new Set(); // ids of changes that wait for their answer now

// send returns whether the change's answer is known now. Only a result (200, 409) or a request that can
// never be right (other 4xx) settles it.
async function send(change) {
  if (sending.has(change.change_id)) return false;
  sending.add(change.change_id);
  try {
    const response = await fetch("/api/changes", { method: "POST", headers: { "Content-Type": "application/json" }, body: JSON.stringify(change) });
    const body = await response.json().catch(() => ({ error: `the answer has status ${response.status}` }));
    if (response.status >= 500) throw new Error(body.error);
    drop(change);
    report(body);
    return true;
  } catch (error) {
    say(`The answer to the change is not known: ${error.message}\nIt is sent again; it is made at most once.`, true);
    return false;
  } finally {
    sending.delete(change.change_id);
  }
}

function report(body) {
  if (body.accepted) {
    const force = body.in_force_version >= body.version ? "in force everywhere" : `in force everywhere up to version ${body.in_force_version} so far`;
    say(`Version ${body.version} is accepted and ${force}.`);
    return;
  }
  const reasons = (body.refusals || []).map((refusal) => {
    const theirs = refusal.changed_version ? `; now ${refusal.current_value || "(not set)"}, set by ${refusal.changed_by} in version ${refusal.changed_version}` : "";
    return `${refusal.row} ${refusal.column}: ${refusal.reason}${theirs}`;
  });
  say([`Refused, nothing was changed: ${body.error || ""}`, ...reasons].join("\n"), true);
}

async function resendKept() {
  for (const change of keptChanges()) if (await send(change)) await refresh(true);
}

async function apply() {
  const operator = $("operator").value.trim();
  if (!operator) { say("Say who you are: fill in operator.", true); return; }
  localStorage.setItem("tamarindring.operator", operator);
  const change = sheet.change(newChangeID(), operator, $("note").value.trim(), $("wait").checked);
  keep(change);
  $("apply").disabled = true;
  await send(change);
  await refresh(true);
}

// ---------------------------------------------------------------- drawing

function drawSheet() {
  const focus = document.activeElement?.dataset?.cell;
  const selection = focus && document.activeElement.selectionStart;
  const columns = sheet.visibleColumns($("all").checked);
  const table = element("table");
  const head = table.appendChild(element("tr"));
  for (const title of ["row", ...columns.map((column) => column.name), ""]) head.appendChild(element("th", title));
  columns.forEach((column, index) => { head.children[index + 1].title = column.help + (column.unit ? ` (${column.unit})` : ""); });
  for (const name of sheet.names()) table.appendChild(drawRow(name, columns));
  $("sheet").replaceChildren(...table.children);
  const refocus = focus && [...document.querySelectorAll("[data-cell]")].find((input) => input.dataset.cell === focus);
  if (refocus) {
    refocus.focus();
    if (refocus.setSelectionRange && selection !== null) refocus.setSelectionRange(selection, selection);
  }
  drawPlan();
}

function drawRow(name, columns) {
  const row = element("tr", "", `${sheet.kind(name)}${sheet.removals.has(name) ? " removed" : ""}`);
  row.appendChild(element("td", name));
  for (const column of columns) row.appendChild(drawCell(name, column));
  const remove = element("button", sheet.removals.has(name) ? "keep" : "remove");
  remove.onclick = () => { sheet.toggleRemoval(name); drawSheet(); };
  row.appendChild(element("td")).appendChild(remove);
  return row;
}

function drawCell(name, column) {
  if (!sheet.applies(name, column)) return element("td", "", "none");
  const theirs = sheet.conflict(name, column.name);
  const cell = element("td", "", theirs ? "conflict" : sheet.edited(name, column.name) ? "edited" : "");
  cell.appendChild(drawInput(name, column));
  if (theirs) cell.appendChild(drawTheirs(name, column, theirs));
  return cell;
}

function drawInput(name, column) {
  const value = sheet.shown(name, column.name);
  const standsFor = sheet.standsFor(name, column);
  let input;
  if (column.choices) {
    input = element("select");
    for (const choice of ["", ...column.choices]) {
      const option = input.appendChild(element("option", choice || (standsFor ? `(${standsFor})` : "")));
      option.value = choice;
    }
  } else {
    input = element("input");
    input.placeholder = standsFor;
    input.readOnly = column.type === "text"; // a document belongs to the tool that keeps it
  }
  input.value = value;
  input.dataset.cell = `${name} ${column.name}`;
  const current = sheet.current(name, column.name);
  input.title = current.version ? `set by ${current.operator} in version ${current.version}` : "not set";
  input.oninput = () => {
    sheet.edit(name, column.name, input.value.trim());
    input.parentElement.className = sheet.edited(name, column.name) ? "edited" : "";
    drawPlan();
  };
  // A row's kind and pool decide what its other cells mean. Drawn once the focus has moved on.
  if (column.name === "kind" || column.name === "pool") input.onchange = () => setTimeout(drawSheet);
  return input;
}

function drawTheirs(name, column, theirs) {
  const box = element("span", `${theirs.operator} set ${theirs.value || "(cleared)"} in version ${theirs.version} `, "theirs");
  for (const [label, act] of [["take theirs", "takeTheirs"], ["keep mine", "keepMine"]]) {
    const button = box.appendChild(element("button", label));
    button.onclick = () => { sheet[act](name, column.name); drawSheet(); };
  }
  return box;
}

function drawPlan() {
  const lines = sheet.plan().map((edit) => `${edit.row} ${edit.column}: ${edit.from || "(not set)"} → ${edit.to || "(not set)"}`);
  for (const name of sheet.removals) lines.push(`${name}: removed`);
  if (sheet.conflicts().length > 0) lines.push("Another operator was faster: settle the marked cells first.");
  $("plan").replaceChildren(...lines.map((line) => element("li", line)));
  $("apply").disabled = !sheet.ready() || sending.size > 0;
  $("discard").disabled = lines.length === 0;
}

function drawTable(id, titles, records) {
  const head = element("tr");
  for (const title of titles) head.appendChild(element("th", title));
  const rows = records.map((record) => {
    const row = element("tr");
    for (const [text, className] of record) row.appendChild(element("td", String(text ?? ""), className));
    return row;
  });
  $(id).replaceChildren(head, ...rows);
}

function drawStatus(status) {
  const inForce = status.in_force_version;
  $("summary").textContent = `table version ${status.table_version}, in force everywhere: ${inForce ? "version " + inForce : "not known yet"}`;
  $("summary").className = inForce >= status.table_version ? "good" : "bad";
  drawTable("members", ["member", "role", "state", "address", "zone", "acts on version", "lease"], (status.members || []).map((member) => [
    [member.name], [member.role], [member.state, member.state === "alive" ? "good" : ""], [member.address], [member.zone],
    [member.acted_version || "–", member.acted_version && member.acted_version < status.table_version ? "bad" : ""],
    [member.lease_remaining_millis > 0 ? `${member.lease_remaining_millis} ms` : "none"],
  ]));
  const nodes = [];
  for (const node of status.control_nodes || []) {
    if (node.error) nodes.push([[node.name], [node.id], [node.address], [""], ["unreachable", "bad"], [""], [""], [""]]);
    for (const group of node.groups || []) {
      nodes.push([[node.name], [node.id], [node.address], [group.group], [group.role, group.role === "leader" ? "good" : ""], [group.term], [group.lag], [group.claims]]);
    }
  }
  drawTable("nodes", ["node", "id", "address", "group", "role", "term", "lag", "claims"], nodes);
  if (status.members_error) say(`The members are not known: ${status.members_error}`, true);
}

function idleText(trainer) {
  if (trainer.observed_seconds <= 0) return "-";
  return `${Math.round(100 * Math.min(trainer.waited_seconds / trainer.observed_seconds, 1))}%`;
}

function drawFleet(fleet) {
  drawTable("pools", ["pool", "back ends", "running", "weight versions", "draining", "unreachable"], fleet.pools.map((pool) => [
    [pool.pool], [pool.backends], [pool.running], [pool.versions.map((one) => `${one.version}: ${one.replicas}`).join(", ")],
    [pool.draining.join(", ")], [pool.unreachable.join(", "), "bad"],
  ]));
  drawTable("coordinators", ["coordinator", "trainers", "samples running", "steps completed", "samples handed over", "too old", "last wave"],
    fleet.coordinators.map((one) => one.error ? [[one.name], ["no answer", "bad"]] : [
      [one.name], [one.trainers], [one.running], [one.steps_completed], [one.handed_over], [one.discarded_stale], [`${one.last_wave_millis} ms`],
    ]));
  drawTable("trainers", ["trainer", "coordinator", "idle", "waiting now", "samples", "staleness mean", "p99", "max"], fleet.trainers.map((one) => [
    [one.trainer], [one.coordinator], [idleText(one)], [one.waiting ? "yes" : "no"], [one.samples], [one.staleness_mean.toFixed(2)],
    [one.staleness_p99], [one.staleness_max],
  ]));
}

function drawHistory(entries) {
  drawTable("history", ["version", "at", "operator", "row", "column", "from", "to", "note"], entries.map((entry) => [
    [entry.version], [new Date(Number(entry.at_unix_millis)).toISOString()], [entry.operator], [entry.row], [entry.column],
    [entry.from], [entry.to], [entry.note],
  ]));
}

// ---------------------------------------------------------------- life

async function refresh(force = false) {
  const status = await read("/api/status");
  drawStatus(status);
  if (!force && status.table_version === sheet.version && sheet.rows.size > 0) return;
  if (sheet.setTable(await read("/api/table")) || force) {
    drawSheet();
    drawHistory(await read("/api/history?limit=20"));
  }
}

async function live() {
  try {
    await resendKept();
    await refresh();
  } catch (error) {
    $("summary").textContent = `no answer: ${error.message}`;
    $("summary").className = "bad";
  }
  setTimeout(live, pollMillis);
}

async function liveFleet() {
  try {
    drawFleet(await read("/api/fleet"));
  } catch (error) {
    drawTable("pools", [`not known: ${error.message}`], []);
    drawTable("coordinators", [], []);
    drawTable("trainers", [], []);
  }
  setTimeout(liveFleet, fleetPollMillis);
}

async function start() {
  $("operator").value = localStorage.getItem("tamarindring.operator") || "";
  $("apply").onclick = () => apply().catch((error) => say(error.message, true));
  $("discard").onclick = () => { sheet.discard(); say(""); drawSheet(); };
  $("all").onchange = drawSheet;
  $("row-add").onclick = () => { if (sheet.addRow($("row-name").value.trim(), $("row-kind").value)) drawSheet(); };
  sheet.setSchema(await read("/api/schema"));
  liveFleet();
  await live();
}

start().catch((error) => say(`The page can't start: ${error.message}`, true));
