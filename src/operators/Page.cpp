// Made from page.html by tools/embed-page.sh; change the page there.

#include "operators/Page.h"

namespace sagechute::operators {

// clang-format off
std::string_view pageScriptHash() { return "sha256-Tb+jzVcgCvcmkOiSj6db7aC7ZVu4LoJyGhVbvdqAQTc="; }

std::string_view pageStyleHash() { return "sha256-BfrFcV2CsN1iUo8FzEdr6PjN0GiDAvQssbN+OFnE+h8="; }

std::string_view pageHtml()
{
    return R"page(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1, viewport-fit=cover">
<meta name="color-scheme" content="light dark">
<title>sagechute</title>
<style>
:root {
    --page: #f4f5f7; --card: #ffffff; --text: #16191d; --soft: #5b6470; --line: #dde1e6;
    --good: #1a7f45; --warn: #9a5b00; --bad: #c0281d; --accent: #1f5fbf; --track: #e6e9ed;
}
@media (prefers-color-scheme: dark) {
    :root {
        --page: #101316; --card: #1a1f24; --text: #e8ebee; --soft: #9aa5b1; --line: #2b323a;
        --good: #4cc38a; --warn: #f0b35a; --bad: #ff7b6e; --accent: #7ab0ff; --track: #2b323a;
    }
}
* { box-sizing: border-box; }
body { margin: 0; background: var(--page); color: var(--text); font: 16px/1.4 system-ui, sans-serif; }
header {
    position: sticky; top: 0; z-index: 1; display: flex; align-items: center; gap: 8px; min-height: 52px; padding: 6px 16px;
    background: var(--card); border-bottom: 1px solid var(--line);
}
header h1 { font-size: 18px; margin: 0; flex: 1; }
header button { font-size: 14px; }
main { padding: 12px 12px 48px; max-width: 720px; margin: 0 auto; }
section { background: var(--card); border: 1px solid var(--line); border-radius: 12px; padding: 12px 14px; margin-bottom: 12px; }
section > h2 { font-size: 15px; margin: 0 0 8px; display: flex; justify-content: space-between; gap: 8px; }
section > h2 small { font-weight: 400; color: var(--soft); text-align: right; }
.live { display: inline-flex; align-items: center; gap: 6px; font-size: 14px; color: var(--soft); }
.live::before { content: ""; width: 10px; height: 10px; border-radius: 50%; background: var(--soft); }
.live.good::before { background: var(--good); }
.live.bad { color: var(--bad); font-weight: 600; }
.live.bad::before { background: var(--bad); }
.banner { border-radius: 12px; padding: 10px 14px; margin-bottom: 12px; font-weight: 600; color: #fff; background: #b3261e; }
.banner p { margin: 2px 0 0; font-weight: 400; }
.state { font-size: 19px; font-weight: 600; }
.state.good { color: var(--good); }
.state.bad { color: var(--bad); }
.state.warn { color: var(--warn); }
ul.plain { list-style: none; margin: 6px 0 0; padding: 0; }
ul.plain li { padding: 2px 0; color: var(--soft); }
.tiles { display: grid; grid-template-columns: repeat(4, 1fr); gap: 8px; margin-top: 12px; }
.tile { min-width: 0; }
.tile b { display: block; font-size: 20px; font-variant-numeric: tabular-nums; }
.tile span { font-size: 13px; color: var(--soft); }
.row { display: flex; align-items: center; gap: 10px; padding: 8px 0; border-top: 1px solid var(--line); }
.row:first-of-type { border-top: 0; }
.row .main { flex: 1; min-width: 0; overflow-wrap: anywhere; }
.row .main small { display: block; color: var(--soft); font-size: 13px; }
.num { font-variant-numeric: tabular-nums; text-align: right; white-space: nowrap; }
.bar { height: 8px; border-radius: 4px; background: var(--track); overflow: hidden; margin: 4px 0; }
.bar i { display: block; height: 100%; background: var(--accent); }
.bar.warn i { background: var(--warn); }
.bar.bad i { background: var(--bad); }
.measure { display: flex; justify-content: space-between; font-size: 14px; margin-top: 6px; }
.chip { font-size: 13px; border: 1px solid currentColor; border-radius: 999px; padding: 1px 8px; white-space: nowrap; color: var(--soft); }
.chip.good { color: var(--good); }
.chip.warn { color: var(--warn); }
.chip.bad { color: var(--bad); }
button {
    font: inherit; min-height: 44px; min-width: 44px; padding: 0 14px; border-radius: 10px; border: 1px solid var(--line);
    background: transparent; color: var(--accent);
}
button.main { background: var(--accent); color: var(--card); border-color: var(--accent); font-weight: 600; }
button.bad { background: var(--bad); color: var(--card); border-color: var(--bad); font-weight: 600; }
button:disabled { opacity: .45; }
input { font: inherit; width: 100%; min-height: 44px; padding: 0 12px; border-radius: 10px; border: 1px solid var(--line); background: var(--page); color: var(--text); }
dialog { border: 0; border-radius: 14px; padding: 18px; width: min(92vw, 420px); background: var(--card); color: var(--text); }
dialog::backdrop { background: rgba(0, 0, 0, .55); }
dialog h3 { margin: 0 0 6px; }
dialog .buttons { display: flex; gap: 10px; justify-content: flex-end; margin-top: 16px; }
details summary { min-height: 44px; display: flex; align-items: center; color: var(--accent); cursor: pointer; }
#toast { position: fixed; left: 12px; right: 12px; bottom: 12px; padding: 12px 14px; border-radius: 12px; background: var(--text); color: var(--page); display: none; }
.stale section { opacity: .55; }
.none { color: var(--soft); }
[hidden] { display: none !important; }
</style>
</head>
<body>
<header>
    <h1>sagechute</h1>
    <span id="live" class="live">connecting</span>
    <button id="leave" hidden>Sign out</button>
</header>
<main>
    <section id="entry" hidden>
        <h2>Operator key</h2>
        <form id="entryForm">
            <input id="key" type="password" autocomplete="current-password" aria-label="Operator key" required>
            <p id="entryFault" class="state bad" hidden></p>
            <p class="none">Kept in this tab only, until it is closed.</p>
            <button class="main" type="submit">Show the fleet</button>
        </form>
    </section>
    <div id="fleet" hidden>
        <div id="banners"></div>
        <section id="glance"></section>
        <div id="pools"></div>
        <section id="targets"></section>
        <section id="routers"></section>
        <section id="changes"></section>
    </div>
</main>
<dialog id="confirm">
    <h3 id="confirmTitle"></h3>
    <p id="confirmText"></p>
    <div class="buttons"><button id="confirmNo">Cancel</button><button id="confirmYes" class="bad"></button></div>
</dialog>
<div id="toast" role="status"></div>
<script>
"use strict";
const staleAfterMs = 8000;
const keyName = "sagechute-operator-key";
const state = { fleet: null, resources: new Map(), audit: [], offset: 0, heard: 0, role: "", stream: null, opened: 0, run: 0, fault: "" };
const at = id => document.getElementById(id);

// Builds an element. Texts are only ever set as text: a resource's text cannot become markup.
function make(tag, className, ...children) {
    const element = document.createElement(tag);
    if (className) element.className = className;
    for (const child of children) if (child !== null && child !== undefined) element.append(child);
    return element;
}
function fill(element, ...children) { element.replaceChildren(...children.filter(child => child)); }
const short = n => n === null || n === undefined ? "–" : n >= 10000 ? (n / 1000).toFixed(0) + "k" : String(Math.round(n * 10) / 10);
const count = (n, word) => n + " " + word + (n === 1 ? "" : "s");
const percent = n => n === null || n === undefined ? "–" : Math.round(n * 100) + " %";
function bar(part, className) {
    const inner = make("i");
    inner.style.width = Math.max(0, Math.min(1, part || 0)) * 100 + "%";
    return make("div", "bar " + (className || ""), inner);
}
function heading(text, small) { return make("h2", "", text, make("small", "", small || "")); }

// Calls the API. Throws what the API says, with its remedy.
async function call(method, path, body) {
    const answer = await fetch(path, {
        method, cache: "no-store", body: body ? JSON.stringify(body) : undefined,
        headers: { Authorization: "Bearer " + sessionStorage.getItem(keyName) },
    });
    const text = await answer.text();
    let document = {};
    try { document = JSON.parse(text); } catch (error) { document = { message: "HTTP status " + answer.status }; }
    if (answer.ok) return document;
    const fault = new Error((document.message || "HTTP status " + answer.status) + (document.remedy ? "; " + document.remedy : ""));
    fault.status = answer.status;
    fault.document = document;
    throw fault;
}

function showEntry(fault) {
    stop();
    at("fleet").hidden = true;
    at("leave").hidden = true;
    at("entry").hidden = false;
    at("entryFault").hidden = !fault;
    at("entryFault").textContent = fault || "";
    at("live").textContent = "signed out";
    at("live").className = "live";
    at("key").focus();
}

function stop() {
    ++state.run;
    if (state.stream) state.stream.abort();
    state.stream = null;
}

// Lists, then watches from the list's offset; over again whenever the connection breaks.
async function start() {
    stop();
    const run = state.run;
    at("entry").hidden = true;
    at("fleet").hidden = false;
    at("leave").hidden = false;
    let mustList = true;
    for (let pause = 500; run === state.run; pause = Math.min(pause * 2, 5000)) {
        try {
            if (mustList) await list();
            mustList = false;
            await watch(() => { pause = 250; });
            state.fault = "the connection ended";
        } catch (error) {
            if (run !== state.run) return;
            if (error.status === 401) return showEntry("This key is not known here.");
            if (error.status === 410) mustList = true;
            state.fault = error.message;
        }
        if (run !== state.run) return;
        renderLive();
        await new Promise(done => setTimeout(done, pause));
    }
}

async function list() {
    const me = await call("GET", "/v1/me");
    const all = await call("GET", "/v1/resources");
    state.role = me.role;
    state.offset = all.offset;
    state.resources.clear();
    for (const resource of all.resources) state.resources.set(resource.kind + "/" + resource.name, resource);
    state.fleet = await call("GET", "/v1/fleet");
    heard();
    await loadAudit();
    render();
}

async function loadAudit() { state.audit = (await call("GET", "/v1/audit?most=12")).lines; }

async function watch(onOpen) {
    state.stream = new AbortController();
    state.opened = Date.now();
    const answer = await fetch("/v1/resources?watch=1&status=1&from=" + state.offset, {
        cache: "no-store", signal: state.stream.signal, headers: { Authorization: "Bearer " + sessionStorage.getItem(keyName) },
    });
    if (!answer.ok) {
        const fault = new Error("HTTP status " + answer.status);
        fault.status = answer.status;
        throw fault;
    }
    onOpen();
    const reader = answer.body.pipeThrough(new TextDecoderStream()).getReader();
    for (let rest = ""; ;) {
        const { value, done } = await reader.read();
        if (done) return;
        rest += value;
        const blocks = rest.split("\n\n");
        rest = blocks.pop();
        for (const block of blocks) take(block);
    }
}

function take(block) {
    const event = { name: "", id: "", data: "" };
    for (const line of block.split("\n")) {
        if (line.startsWith("event: ")) event.name = line.slice(7);
        if (line.startsWith("id: ")) event.id = line.slice(4);
        if (line.startsWith("data: ")) event.data += line.slice(6);
    }
    heard();
    if (event.name === "list-again") {
        const fault = new Error("changes were missed");
        fault.status = 410;
        throw fault;
    }
    if (event.name === "change") {
        const change = JSON.parse(event.data);
        const name = change.kind + "/" + change.name;
        if (change.deleted) state.resources.delete(name);
        else state.resources.set(name, { kind: change.kind, name: change.name, version: change.offset, spec: change.spec });
        loadAudit().then(render, () => {});
    }
    if (event.name === "status") state.fleet = JSON.parse(event.data);
    if (event.id) state.offset = Math.max(state.offset, Number(event.id));
    render();
}

function heard() {
    state.heard = Date.now();
    state.fault = "";
    renderLive();
}

function isStale() { return Date.now() - state.heard > staleAfterMs; }

function renderLive() {
    if (at("fleet").hidden) return;
    const seconds = Math.round((Date.now() - state.heard) / 1000);
    const live = at("live");
    const wasBroken = document.body.classList.contains("stale");
    const isBroken = isStale() || (state.fault && seconds > 2);
    document.body.classList.toggle("stale", Boolean(state.heard && isBroken));
    live.className = "live " + (state.heard && !isBroken ? "good" : "bad");
    live.textContent = !state.heard ? "connecting" : isBroken ? "stale, " + seconds + " s old" : "live";
    const banners = [];
    if (state.heard && isBroken)
        banners.push(make("div", "banner", "Stale: what you see is " + seconds + " s old",
            make("p", "", "Connecting again" + (state.fault ? " (" + state.fault + ")" : "") + ". Nothing here can be trusted to be so now.")));
    if (!state.heard && state.fault) banners.push(make("div", "banner", "No connection", make("p", "", state.fault)));
    if (state.fleet && !state.fleet.logReachable && !isBroken)
        banners.push(make("div", "banner", "The log is out of reach",
            make("p", "", "The fleet goes on with offset " + state.fleet.configOffset + ". Changes cannot be accepted until it is back.")));
    fill(at("banners"), ...banners);
    if (state.fleet && wasBroken !== document.body.classList.contains("stale")) renderGlance();
    for (const button of document.querySelectorAll("button.drain")) button.disabled = isBroken || state.role !== "change";
}

function problems() {
    const fleet = state.fleet;
    const found = [];
    if (fleet.progress.routers === 0) found.push("no router answers");
    for (const router of fleet.routers) {
        if (router.fault) found.push(router.vm + " does not answer");
        else if (router.state === "suspect") found.push(router.vm + " is suspected to be down");
        else if (router.state === "dead") found.push(router.vm + " is down");
    }
    for (const router of fleet.progress.lagging)
        found.push(router.vm + " is behind, at offset " + router.configOffset + ": " + router.why);
    for (const pool of fleet.pools) {
        if (pool.gapBound > 0 && pool.gap > pool.gapBound) found.push("pool " + pool.pool + ": the gap is above its bound");
    }
    return found;
}

function renderGlance() {
    const fleet = state.fleet;
    const found = problems();
    const sum = name => fleet.pools.reduce((all, pool) => all + pool[name], 0);
    const tile = (value, name) => make("div", "tile", make("b", "", String(value)), make("span", "", name));
    const bad = !fleet.logReachable || fleet.progress.routers === 0;
    const isOld = document.body.classList.contains("stale");
    const verdict = isOld ? "Not known now" : bad ? "Look at once" : found.length ? count(found.length, "thing") + " to look at" : "All well";
    const items = make("ul", "plain");
    for (const problem of found) items.append(make("li", "", problem));
    fill(at("glance"),
        make("div", "state " + (isOld || bad ? "bad" : found.length ? "warn" : "good"), verdict),
        found.length ? items : null,
        make("div", "tiles",
            tile(fleet.routers.filter(router => router.state === "alive" && !router.fault).length + "/" + fleet.routers.length, "routers up"),
            tile(fleet.progress.inForce + "/" + fleet.progress.routers, "have " + fleet.configOffset),
            tile(sum("running") + "/" + sum("slots"), "slots busy"),
            tile(short(sum("waiting")), "waiting")));
}

function renderPools() {
    fill(at("pools"), ...state.fleet.pools.map(pool => {
        const part = pool.gapBound > 0 ? pool.gap / pool.gapBound : 0;
        const rows = [...pool.customers].sort((a, b) => (b.share || 0) - (a.share || 0)).map(customer =>
            make("div", "row",
                make("div", "main", customer.customer, bar(customer.share),
                    make("small", "", "weight " + short(customer.weight) + (customer.waiting ? ", work waits" : ""))),
                make("div", "num", percent(customer.share))));
        return make("section", "", heading("Pool " + pool.pool, short(pool.waiting) + " waiting"),
            make("div", "measure", make("span", "", "Slots busy"), make("span", "num", pool.running + " of " + pool.slots)),
            bar(pool.slots ? pool.running / pool.slots : 0),
            make("div", "measure", make("span", "", "Fairness gap"), make("span", "num", short(pool.gap) + " of " + short(pool.gapBound))),
            bar(part, part > 1 ? "bad" : part > .8 ? "warn" : ""),
            make("div", "measure none", make("span", "", "Customer"), make("span", "", "share, last 30 s")),
            ...rows);
    }));
}

function drainButton(kind, name, isDrained) {
    const button = make("button", "drain", isDrained ? "Undo" : "Drain");
    button.setAttribute("aria-label", (isDrained ? "Take back " : "Drain ") + kind + " " + name);
    button.onclick = () => confirmDrain(kind, name, isDrained);
    return button;
}

function renderTargets() {
    const targets = [...state.resources.values()].filter(it => it.kind === "target");
    targets.sort((a, b) => (b.spec.state === "leaving") - (a.spec.state === "leaving") || a.name.localeCompare(b.name, "en", { numeric: true }));
    const leaving = targets.filter(it => it.spec.state === "leaving").length;
    fill(at("targets"), heading("Targets", targets.length - leaving + " serving" + (leaving ? ", " + leaving + " leaving" : "")),
        ...targets.map(it => make("div", "row",
            make("div", "main", it.name, make("small", "", it.spec.pool + ", " + it.spec.zone + ", " + count(it.spec.slots, "slot"))),
            make("span", "chip " + (it.spec.state === "leaving" ? "warn" : "good"), it.spec.state),
            drainButton("target", it.name, it.spec.state === "leaving"))),
        targets.length ? null : make("p", "none", "None declared."));
}

function routerRow(router) {
    const declared = state.resources.get("vm/" + router.vm);
    const drains = router.draining || (declared && declared.spec.drain);
    const lagging = state.fleet.progress.lagging.find(it => it.vm === router.vm);
    const word = router.fault ? "no answer" : drains ? "draining" : router.state;
    const tone = router.fault || router.state === "dead" ? "bad" : drains || router.state !== "alive" || lagging ? "warn" : "good";
    return make("div", "row",
        make("div", "main", router.vm, make("small", "", router.zone + ", load " + short(router.load) + ", offset " + router.configOffset
            + (lagging ? " – behind: " + lagging.why : ""))),
        make("span", "chip " + tone, word),
        drainButton("vm", router.vm, Boolean(declared && declared.spec.drain)));
}

function renderRouters() {
    const routers = state.fleet.routers;
    const behind = state.fleet.progress.lagging.length;
    const isOdd = it => it.fault || it.state !== "alive" || it.draining || state.fleet.progress.lagging.some(other => other.vm === it.vm);
    const odd = routers.filter(isOdd);
    const others = routers.filter(it => !isOdd(it));
    const wasOpen = at("routers").querySelector("details")?.open;
    let rest = null;
    if (others.length) {
        rest = make("details", "", make("summary", "", others.length + " without trouble"), ...others.map(routerRow));
        rest.open = wasOpen === undefined ? routers.length <= 8 : wasOpen;
    }
    fill(at("routers"), heading("Routers", behind ? behind + " behind" : "all have offset " + state.fleet.configOffset), ...odd.map(routerRow), rest);
}

function renderChanges() {
    const tone = verdict => verdict === "accepted" ? "good" : verdict === "conflict" ? "warn" : "bad";
    fill(at("changes"), heading("Latest changes", "audit trail"), ...state.audit.map(line =>
        make("div", "row",
            make("div", "main", line.resource || line.action,
                make("small", "", [line.difference, line.reason].filter(Boolean).join(" – ").slice(0, 90)),
                make("small", "", (line.operator || "unknown") + ", " + new Date(line.at).toLocaleString())),
            make("span", "chip " + tone(line.verdict), line.verdict))));
}

function render() {
    if (!state.fleet) return;
    renderGlance();
    renderPools();
    renderTargets();
    renderRouters();
    renderChanges();
    renderLive();
}

function confirmDrain(kind, name, isDrained) {
    at("confirmTitle").textContent = (isDrained ? "Take back " : "Drain ") + name + "?";
    at("confirmText").textContent = isDrained ? "It gets new work again."
        : kind === "target" ? "It gets no new work after a few seconds. Requests that run there end normally."
                            : "Its router leaves the answers to callers, hands on its cells and lets requests in flight end.";
    at("confirmYes").textContent = isDrained ? "Take back" : "Drain";
    at("confirmYes").onclick = () => { at("confirm").close(); drain(kind, name, !isDrained); };
    at("confirm").showModal();
}

async function drain(kind, name, isDraining) {
    const path = "/v1/resources/" + kind + "/" + encodeURIComponent(name);
    const changeId = "page-" + Array.from(crypto.getRandomValues(new Uint8Array(8)), n => n.toString(16).padStart(2, "0")).join("");
    toast("Sending…");
    try {
        let current = { spec: {}, version: 0 };
        try { current = await call("GET", path); } catch (error) { if (error.status !== 404 || kind !== "vm") throw error; }
        const spec = kind === "target" ? { ...current.spec, state: isDraining ? "leaving" : "serving" } : { ...current.spec, drain: isDraining };
        const answer = await call("PUT", path + "?changeId=" + changeId, { spec, expected: current.version });
        const offset = answer.change ? answer.change.offset : answer.resource.version;
        toast(name + ": accepted at offset " + offset + ", waiting for the routers…");
        const reached = await call("GET", "/v1/progress/" + offset + "?waitMs=15000");
        const { inForce, routers, lagging } = reached.progress;
        toast(name + ": in force on " + inForce + " of " + routers + " routers" + (lagging.length ? "; behind: " + lagging.map(it => it.vm).join(", ") : ""));
    } catch (error) {
        const isUnknown = !error.document || error.document.mayHaveBeenTaken;
        toast(error.message + (isUnknown ? " (it may have been taken: look at the latest changes)" : ""));
    }
}

let toastTimer = 0;
function toast(text) {
    at("toast").textContent = text;
    at("toast").style.display = "block";
    clearTimeout(toastTimer);
    toastTimer = setTimeout(() => { at("toast").style.display = "none"; }, 9000);
}

at("entryForm").onsubmit = event => {
    event.preventDefault();
    sessionStorage.setItem(keyName, at("key").value.trim());
    at("key").value = "";
    start();
};
at("confirmNo").onclick = () => at("confirm").close();
at("leave").onclick = () => { sessionStorage.removeItem(keyName); location.reload(); };
// A phone that slept shows old figures: say so at once, and connect anew instead of waiting for a dead connection.
document.addEventListener("visibilitychange", () => { renderLive(); if (!document.hidden && isStale() && sessionStorage.getItem(keyName)) start(); });
// A connection that went silent never ends by itself. A new one gets its own time before it is judged.
setInterval(() => {
    renderLive();
    if (state.stream && isStale() && Date.now() - state.opened > staleAfterMs) state.stream.abort();
}, 1000);
sessionStorage.getItem(keyName) ? start() : showEntry("");
</script>
</body>
</html>
)page";
}
// clang-format on

} // namespace sagechute::operators
