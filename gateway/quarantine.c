#include "quarantine.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

struct quarantine_t {
    quarantine_desc_t desc;
    cw_quarantine_t* table;
    uint64_t observations_sent, observations_received, requests_quarantined;
};

static const char* verdict_name(cw_verdict_kind_t kind) {
    static const char* const names[] = {"free", "apart", "trial", "wait", "held"};
    return names[kind];
}

/* Applies an observation and logs a changed verdict. Returns whether the observation was new. */
static bool apply_observation(quarantine_t* q, const cw_quarantine_observation_t* observation, const char* by) {
    int64_t now_ms = clock_ms();
    const cw_fingerprint_t* request = &observation->request;
    cw_verdict_t previous = cw_quarantine_evaluate(q->table, now_ms, request);
    if (!cw_quarantine_observe(q->table, now_ms, observation)) {
        return false;
    }
    cw_verdict_t updated = cw_quarantine_evaluate(q->table, now_ms, request);
    if (updated.kind != previous.kind) {
        cw_log(q->desc.log, CW_EVENT_REQUEST_SUSPECTED,
               "fingerprint=%016llx workspace=%016llx verdict=%s was=%s ends=%u life=%016llx age_ms=%u told_by=%s "
               "retry_ms=%u",
               (unsigned long long)request->content_hash, (unsigned long long)request->workspace,
               verdict_name(updated.kind), verdict_name(previous.kind), updated.crashes,
               (unsigned long long)observation->incarnation, observation->age_ms, by, updated.retry_ms);
    }
    return true;
}

/* Applies an observation of this daemon and publishes it if it is new. */
static void publish_observation(quarantine_t* q, const cw_quarantine_observation_t* observation) {
    if (apply_observation(q, observation, "self")) {
        q->observations_sent++;
        q->desc.on_observation(q->desc.user_data, observation);
    }
}

/* From now on, data on a connection that was opened before the presumed crash proves the server alive. */
static void watch_for_data(server_t* server, int64_t presumed_crash_ms) {
    server->presumed_crash_ms = presumed_crash_ms;
}

cw_verdict_t quarantine_check(quarantine_t* q, const cw_fingerprint_t* request) {
    return cw_quarantine_evaluate(q->table, clock_ms(), request);
}

void quarantine_record_refusal(quarantine_t* q, const cw_fingerprint_t* request, const char* id,
                               const cw_verdict_t* verdict) {
    q->requests_quarantined++;
    cw_log(q->desc.log, CW_EVENT_REQUEST_HELD, "id=%s fingerprint=%016llx workspace=%016llx ends=%u retry_ms=%u", id,
           (unsigned long long)request->content_hash, (unsigned long long)request->workspace, verdict->crashes,
           verdict->retry_ms);
}

void quarantine_on_trial(quarantine_t* q, const cw_fingerprint_t* request, const server_t* server) {
    publish_observation(
        q, &(cw_quarantine_observation_t){.kind = CW_OBSERVED_TRIAL, .request = *request, .incarnation = server->key});
}

void quarantine_on_crash(quarantine_t* q, const cw_fingerprint_t* request, server_t* server) {
    cw_quarantine_observation_t observation = {
        .kind = CW_OBSERVED_CRASH, .request = *request, .incarnation = server->key};
    watch_for_data(server, clock_ms());
    publish_observation(q, &observation);
}

void quarantine_on_response(quarantine_t* q, const cw_fingerprint_t* request) {
    if (cw_quarantine_has_crashes(q->table, request)) {
        publish_observation(q, &(cw_quarantine_observation_t){.kind = CW_OBSERVED_CLEARED, .request = *request});
    }
}

void quarantine_on_server_alive(quarantine_t* q, const server_t* server) {
    publish_observation(q, &(cw_quarantine_observation_t){.kind = CW_OBSERVED_ALIVE, .incarnation = server->key});
}

void quarantine_on_observation(quarantine_t* q, const cw_quarantine_observation_t* observation) {
    if (!apply_observation(q, observation, "other")) {
        return;
    }
    q->observations_received++;
    server_t* server =
        observation->kind == CW_OBSERVED_CRASH ? upstreams_server(q->desc.upstreams, observation->incarnation) : NULL;
    if (server) {
        watch_for_data(server, clock_ms() - observation->age_ms);
    }
}

/* Formats the crashes of a quarantined request for the log: "INCARNATION:AGE_MS" each, with "?" after a trial. */
static void format_crashes(const cw_quarantine_entry_t* quarantined, char* out, size_t size) {
    size_t n = 0;
    out[0] = 0;
    for (uint32_t i = 0; i < quarantined->verdict.excluded_count && n < size; i++) {
        n += (size_t)snprintf(out + n, size - n, "%s%016llx:%u%s", i ? "," : "",
                              (unsigned long long)quarantined->verdict.incarnations[i], quarantined->age_ms[i],
                              quarantined->is_trial[i] ? "?" : "");
    }
}

void quarantine_tick(quarantine_t* q) {
    cw_quarantine_entry_t quarantined;
    char crashes[CW_QUARANTINE_MAX_CRASHES * 32];
    while (cw_quarantine_next_newly_quarantined(q->table, clock_ms(), &quarantined)) {
        format_crashes(&quarantined, crashes, sizeof(crashes));
        cw_log(q->desc.log, CW_EVENT_REQUEST_BARRED, "fingerprint=%016llx workspace=%016llx ends=%s retry_ms=%u",
               (unsigned long long)quarantined.request.content_hash, (unsigned long long)quarantined.request.workspace,
               crashes, quarantined.verdict.retry_ms);
        q->desc.on_quarantined(q->desc.user_data, &quarantined.request);
    }
}

uint32_t quarantine_observations(quarantine_t* q, uint32_t* at, cw_quarantine_observation_t* out, uint32_t max) {
    return cw_quarantine_export(q->table, clock_ms(), at, out, max);
}

static json_t* json_hex(uint64_t id) {
    char text[20];
    snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    return json_string(text);
}

static json_t* entry_to_json(const cw_quarantine_entry_t* entry) {
    const cw_verdict_t* v = &entry->verdict;
    json_t* crashes = json_array();
    for (uint32_t i = 0; i < v->excluded_count; i++) {
        json_array_append_new(crashes, json_pack("{s:o,s:i,s:b}", "life", json_hex(v->incarnations[i]), "age_ms",
                                                 (int)entry->age_ms[i], "trial", entry->is_trial[i]));
    }
    return json_pack("{s:o,s:o,s:s,s:I,s:o}", "fingerprint", json_hex(entry->request.content_hash), "workspace",
                     json_hex(entry->request.workspace), "verdict", verdict_name(v->kind), "retry_ms",
                     (json_int_t)v->retry_ms, "ends", crashes);
}

void quarantine_write_json(quarantine_t* q, cw_buffer_t* out) {
    json_t* list = json_array();
    cw_quarantine_entry_t entry;
    for (uint32_t at = 0; cw_quarantine_next_entry(q->table, clock_ms(), &at, &entry);) {
        json_array_append_new(list, entry_to_json(&entry));
    }
    json_t* root = json_pack("{s:o}", "requests", list);
    char* text = json_dumps(root, JSON_COMPACT);
    cw_buffer_add(out, text, strlen(text));
    free(text);
    json_decref(root);
}

bool quarantine_release(quarantine_t* q, const char* fingerprint, const char* workspace) {
    cw_fingerprint_t request = {.workspace = strtoull(workspace, NULL, 16),
                                .content_hash = strtoull(fingerprint, NULL, 16)};
    bool is_known = cw_quarantine_has_crashes(q->table, &request);
    quarantine_on_response(q, &request);
    return is_known;
}

quarantine_stats_t quarantine_stats(const quarantine_t* q) {
    return (quarantine_stats_t){.requests = cw_quarantine_stats(q->table, clock_ms()),
                                .observations_sent = q->observations_sent,
                                .observations_received = q->observations_received,
                                .requests_quarantined = q->requests_quarantined};
}

quarantine_t* quarantine_setup(const quarantine_desc_t* desc) {
    quarantine_t* q = calloc(1, sizeof(*q));
    if (!q) {
        abort();
    }
    q->desc = *desc;
    q->table =
        cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = desc->entries, .retention_ms = desc->retention_ms});
    return q;
}

void quarantine_shutdown(quarantine_t* q) {
    cw_quarantine_shutdown(q->table);
    free(q);
}
