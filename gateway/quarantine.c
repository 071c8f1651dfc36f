#include "quarantine.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

struct quarantine_t {
    quarantine_desc_t desc;
    cw_quarantine_t* table;
    uint64_t told, heard, held_back;
};

static const char* verdict_name(cw_verdict_kind_t kind) {
    static const char* const names[] = {"free", "apart", "trial", "wait", "held"};
    return names[kind];
}

/* Applies an observation and logs a changed verdict. Returns whether the observation was new. */
static bool apply_observation(quarantine_t* q, const cw_mark_t* observation, const char* by) {
    int64_t now_ms = clock_ms();
    const cw_fingerprint_t* request = &observation->request;
    cw_verdict_t previous = cw_quarantine_ask(q->table, now_ms, request);
    if (!cw_quarantine_take(q->table, now_ms, observation)) {
        return false;
    }
    cw_verdict_t updated = cw_quarantine_ask(q->table, now_ms, request);
    if (updated.kind != previous.kind) {
        cw_log(q->desc.log, CW_EVENT_REQUEST_SUSPECTED,
               "fingerprint=%016llx workspace=%016llx verdict=%s was=%s ends=%u life=%016llx age_ms=%u told_by=%s "
               "retry_ms=%u",
               (unsigned long long)request->content, (unsigned long long)request->workspace, verdict_name(updated.kind),
               verdict_name(previous.kind), updated.ends, (unsigned long long)observation->life, observation->age_ms,
               by, updated.retry_ms);
    }
    return true;
}

/* Applies an observation of this daemon and publishes it if it is new. */
static void publish_observation(quarantine_t* q, const cw_mark_t* observation) {
    if (apply_observation(q, observation, "self")) {
        q->told++;
        q->desc.on_mark(q->desc.user_data, observation);
    }
}

/* From now on, data on a connection that was opened before the presumed crash proves the server alive. */
static void watch_for_data(server_t* server, int64_t presumed_crash_ms) {
    server->presumed_crash_ms = presumed_crash_ms;
}

cw_verdict_t quarantine_check(quarantine_t* q, const cw_fingerprint_t* request) {
    return cw_quarantine_ask(q->table, clock_ms(), request);
}

void quarantine_record_refusal(quarantine_t* q, const cw_fingerprint_t* request, const char* id,
                               const cw_verdict_t* verdict) {
    q->held_back++;
    cw_log(q->desc.log, CW_EVENT_REQUEST_HELD, "id=%s fingerprint=%016llx workspace=%016llx ends=%u retry_ms=%u", id,
           (unsigned long long)request->content, (unsigned long long)request->workspace, verdict->ends,
           verdict->retry_ms);
}

void quarantine_on_trial(quarantine_t* q, const cw_fingerprint_t* request, const server_t* server) {
    publish_observation(q, &(cw_mark_t){.kind = CW_MARK_TRIED, .request = *request, .life = server->key});
}

void quarantine_on_crash(quarantine_t* q, const cw_fingerprint_t* request, server_t* server) {
    cw_mark_t observation = {.kind = CW_MARK_ENDED, .request = *request, .life = server->key};
    watch_for_data(server, clock_ms());
    publish_observation(q, &observation);
}

void quarantine_on_response(quarantine_t* q, const cw_fingerprint_t* request) {
    if (cw_quarantine_knows(q->table, request)) {
        publish_observation(q, &(cw_mark_t){.kind = CW_MARK_CLEARED, .request = *request});
    }
}

void quarantine_on_alive(quarantine_t* q, const server_t* server) {
    publish_observation(q, &(cw_mark_t){.kind = CW_MARK_ALIVE, .life = server->key});
}

void quarantine_on_mark(quarantine_t* q, const cw_mark_t* observation) {
    if (!apply_observation(q, observation, "other")) {
        return;
    }
    q->heard++;
    server_t* server =
        observation->kind == CW_MARK_ENDED ? upstreams_server(q->desc.upstreams, observation->life) : NULL;
    if (server) {
        watch_for_data(server, clock_ms() - observation->age_ms);
    }
}

/* Formats the crashes for which the request is quarantined, for the log: "LIFE:AGE_MS" each, with "?" after a trial. */
static void format_crashes(const cw_quarantine_entry_t* quarantined, char* out, size_t size) {
    size_t n = 0;
    out[0] = 0;
    for (uint32_t i = 0; i < quarantined->verdict.ruled_out && n < size; i++) {
        n += (size_t)snprintf(out + n, size - n, "%s%016llx:%u%s", i ? "," : "",
                              (unsigned long long)quarantined->verdict.lives[i], quarantined->age_ms[i],
                              quarantined->tried[i] ? "?" : "");
    }
}

void quarantine_tick(quarantine_t* q) {
    cw_quarantine_entry_t quarantined;
    char ends[CW_QUARANTINE_ENDS * 32];
    while (cw_quarantine_newly_held(q->table, clock_ms(), &quarantined)) {
        format_crashes(&quarantined, ends, sizeof(ends));
        cw_log(q->desc.log, CW_EVENT_REQUEST_BARRED, "fingerprint=%016llx workspace=%016llx ends=%s retry_ms=%u",
               (unsigned long long)quarantined.request.content, (unsigned long long)quarantined.request.workspace, ends,
               quarantined.verdict.retry_ms);
        q->desc.on_held(q->desc.user_data, &quarantined.request);
    }
}

uint32_t quarantine_marks(quarantine_t* q, uint32_t* at, cw_mark_t* out, uint32_t max) {
    return cw_quarantine_marks(q->table, clock_ms(), at, out, max);
}

static json_t* json_hex(uint64_t id) {
    char text[20];
    snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    return json_string(text);
}

static json_t* entry_to_json(const cw_quarantine_entry_t* entry) {
    const cw_verdict_t* v = &entry->verdict;
    json_t* ends = json_array();
    for (uint32_t i = 0; i < v->ruled_out; i++) {
        json_array_append_new(ends, json_pack("{s:o,s:i,s:b}", "life", json_hex(v->lives[i]), "age_ms",
                                              (int)entry->age_ms[i], "trial", entry->tried[i]));
    }
    return json_pack("{s:o,s:o,s:s,s:I,s:o}", "fingerprint", json_hex(entry->request.content), "workspace",
                     json_hex(entry->request.workspace), "verdict", verdict_name(v->kind), "retry_ms",
                     (json_int_t)v->retry_ms, "ends", ends);
}

void quarantine_write(quarantine_t* q, cw_buffer_t* out) {
    json_t* list = json_array();
    cw_quarantine_entry_t entry;
    for (uint32_t at = 0; cw_quarantine_next(q->table, clock_ms(), &at, &entry);) {
        json_array_append_new(list, entry_to_json(&entry));
    }
    json_t* root = json_pack("{s:o}", "requests", list);
    char* text = json_dumps(root, JSON_COMPACT);
    cw_buffer_add(out, text, strlen(text));
    free(text);
    json_decref(root);
}

bool quarantine_release(quarantine_t* q, const char* fingerprint, const char* workspace) {
    cw_fingerprint_t request = {.workspace = strtoull(workspace, NULL, 16), .content = strtoull(fingerprint, NULL, 16)};
    bool is_known = cw_quarantine_knows(q->table, &request);
    quarantine_on_response(q, &request);
    return is_known;
}

quarantine_stats_t quarantine_stats(const quarantine_t* q) {
    return (quarantine_stats_t){.requests = cw_quarantine_stats(q->table, clock_ms()),
                                .told = q->told,
                                .heard = q->heard,
                                .held_back = q->held_back};
}

quarantine_t* quarantine_setup(const quarantine_desc_t* desc) {
    quarantine_t* q = calloc(1, sizeof(*q));
    if (!q) {
        abort();
    }
    q->desc = *desc;
    q->table = cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = desc->entries, .keep_ms = desc->keep_ms});
    return q;
}

void quarantine_shutdown(quarantine_t* q) {
    cw_quarantine_shutdown(q->table);
    free(q);
}
