// The sheet's state without the document: what the table is, what the operator has edited, and which
// edits another operator's change has overtaken. page.js draws it.

const separator = "\u0000";

export class Sheet {
  constructor() {
    this.columns = [];
    this.version = 0;
    this.rows = new Map(); // name -> Map(column -> {value, version, operator})
    this.edits = new Map(); // row + separator + column -> {value, base}
    this.removals = new Set();
  }

  setSchema(columns) { this.columns = columns; }

  // setTable takes over a newer table; edits stay. It says whether anything is new.
  setTable(table) {
    if (table.version < this.version || (table.version === this.version && this.rows.size > 0)) return false;
    this.version = table.version;
    this.rows = new Map();
    for (const row of table.rows || []) this.rows.set(row.name, new Map(Object.entries(row.cells)));
    for (const name of this.removals) if (!this.rows.has(name)) this.finishRemoval(name);
    for (const [key, edit] of this.edits) {
      const [row, column] = key.split(separator);
      if (this.current(row, column).value === edit.value) this.edits.delete(key);
    }
    return true;
  }

  finishRemoval(name) {
    this.removals.delete(name);
    this.dropEdits(name);
  }

  dropEdits(name) {
    for (const key of [...this.edits.keys()]) if (key.split(separator)[0] === name) this.edits.delete(key);
  }

  current(row, column) {
    return this.rows.get(row)?.get(column) || { value: "", version: 0, operator: "" };
  }

  edited(row, column) { return this.edits.get(row + separator + column); }

  shown(row, column) { return this.edited(row, column)?.value ?? this.current(row, column).value; }

  edit(row, column, value) {
    const key = row + separator + column;
    const earlier = this.edits.get(key);
    if (value === this.current(row, column).value) this.edits.delete(key);
    else this.edits.set(key, { value, base: earlier ? earlier.base : this.version });
  }

  // conflict returns the other operator's cell if it was set after this operator began to edit.
  conflict(row, column) {
    const edit = this.edited(row, column);
    const now = this.current(row, column);
    return edit && now.version > edit.base ? now : null;
  }

  takeTheirs(row, column) { this.edits.delete(row + separator + column); }

  keepMine(row, column) {
    const edit = this.edited(row, column);
    if (edit) edit.base = this.version;
  }

  addRow(name, kind) {
    if (!name || this.rows.has(name)) return false;
    this.edit(name, "kind", kind);
    return true;
  }

  toggleRemoval(name) {
    if (!this.rows.has(name)) { // a row that only exists as edits
      this.dropEdits(name);
    } else if (!this.removals.delete(name)) {
      this.removals.add(name);
    }
  }

  discard() { this.edits.clear(); this.removals.clear(); }

  conflicts() {
    return [...this.edits.keys()].map((key) => key.split(separator)).filter(([row, column]) => this.conflict(row, column));
  }

  ready() { return (this.edits.size > 0 || this.removals.size > 0) && this.conflicts().length === 0; }

  kind(row) { return this.shown(row, "kind"); }

  pool(row) { return this.kind(row) === "pool" ? row : this.shown(row, "pool"); }

  // names lists all rows, each pool before its back ends.
  names() {
    const names = new Set(this.rows.keys());
    for (const key of this.edits.keys()) names.add(key.split(separator)[0]);
    const order = (name) => this.pool(name) + separator + (this.kind(name) === "pool" ? "0" : "1");
    const natural = new Intl.Collator("en", { numeric: true });
    return [...names].sort((left, right) => natural.compare(order(left), order(right)) || natural.compare(left, right));
  }

  // visibleColumns lists the columns that some row sets, or all of them.
  visibleColumns(all) {
    return this.columns.filter((column) => all || this.names().some((name) => this.shown(name, column.name) !== ""));
  }

  applies(row, column) { return column.name === "kind" || column.rows.includes(this.kind(row)); }

  // standsFor is what an empty cell means: the pool's value if it is inherited, else the default.
  standsFor(row, column) {
    const inherited = column.inherited && this.kind(row) === "backend" ? this.shown(this.pool(row), column.name) : "";
    return inherited || column.default || "";
  }

  plan() {
    const lines = [...this.edits].map(([key, edit]) => {
      const [row, column] = key.split(separator);
      if (this.removals.has(row)) return null;
      return { row, column, from: this.current(row, column).value, to: edit.value };
    });
    return lines.filter(Boolean);
  }

  // change is the request for all edits. Without conflicts every edited cell is as the operator sees it
  // at this version, so that is the version it is made against.
  change(id, operator, note, wait) {
    return {
      change_id: id, base_version: this.version, operator, note, wait, remove_rows: [...this.removals],
      cells: this.plan().map(({ row, column, to }) => ({ row, column, value: to })),
    };
  }
}
