#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../io/quarantine_report.h"
#include "clock.h"

/* Verdicts change for some time after an observation: a pending one becomes final. */
#define SETTLING_MS 300
/* A pool has one software version if no other has been listed for this long: servers that crashed leave the list and
   return to it under new ids. */
#define VERSIONS_MEMORY_MS 30000

struct quarantine_t {
    quarantine_desc_t desc;
    cw_quarantine_t* table;
    uint64_t checked_version; /* version of the table at the last call of on_verdicts_changed */
    int64_t changed_ms;       /* time of the last change of the table; 0: never */
    uint64_t observations_sent, observations_received, requests_quarantined;
};

/* Applies an observation and logs a changed verdict. Returns whether the observation was new. */
static bool apply_observation(quarantine_t* q, const cw_quarantine_observation_t* observation, const char* by) {
    return cw_quarantine_observe_and_log(q->table, clock_ms(), observation, by, q->desc.log);
}

/* Applies observations of this daemon and publishes those that are new. */
static void publish_observations(quarantine_t* q, const cw_quarantine_observation_t* observations, uint32_t count) {
    cw_quarantine_observation_t published[CW_SUSPECTS_MAX];
    uint32_t published_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (apply_observation(q, &observations[i], "self")) {
            published[published_count++] = observations[i];
        }
    }
    q->observations_sent += published_count;
    if (published_count) {
        q->desc.on_observations(q->desc.user_data, published, published_count);
    }
}

/* From now on, data on a connection that was opened before the presumed crash proves the server alive. */
static void watch_for_data(server_t* server, int64_t presumed_crash_ms) {
    server->presumed_crash_ms = presumed_crash_ms;
}

cw_verdict_t quarantine_check(quarantine_t* q, const cw_suspects_t* suspects, const pool_t* pool) {
    uint64_t version = cw_pool_versions_only(&pool->versions, clock_ms(), VERSIONS_MEMORY_MS);
    const cw_quarantine_target_t target = {.pool = cw_quarantine_pool(pool->id),
                                           .version = cw_quarantine_server_version(version)};
    return cw_quarantine_evaluate(q->table, clock_ms(), suspects, &target);
}

void quarantine_record_refusal(quarantine_t* q, const char* id, const cw_verdict_t* verdict) {
    char suspect[CW_SUSPECT_TEXT_MAX];
    q->requests_quarantined++;
    cw_log(q->desc.log, CW_EVENT_REQUEST_HELD, "id=%s %s ends=%u retry_ms=%u", id,
           cw_suspect_format(&verdict->suspect, suspect), verdict->crashes, verdict->retry_ms);
}

void quarantine_claim(quarantine_t* q, const cw_suspects_t* suspects, const cw_verdict_t* verdict, const pool_t* pool) {
    cw_quarantine_observation_t claims[CW_SUSPECTS_MAX];
    uint32_t count = cw_quarantine_claims(suspects, verdict, cw_quarantine_pool(pool->id), claims);
    publish_observations(q, claims, count);
}

void quarantine_on_trial(quarantine_t* q, const cw_suspects_t* suspects, const server_t* server) {
    const cw_quarantine_observation_t trial = {.kind = CW_OBSERVED_TRIAL,
                                               .suspect = suspects->items[0],
                                               .incarnation = server->key,
                                               .pool = cw_quarantine_pool(server->pool->id)};
    publish_observations(q, &trial, 1);
}

void quarantine_on_crash(quarantine_t* q, const cw_suspects_t* suspects, cw_run_phase_t phase, server_t* server) {
    cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
    uint64_t version = cw_server_version_id(&server->published);
    const cw_quarantine_observation_t crash = {.kind = CW_OBSERVED_CRASH,
                                               .incarnation = server->key,
                                               .pool = cw_quarantine_pool(server->pool->id),
                                               .version = cw_quarantine_server_version(version),
                                               .phase = phase};
    uint32_t count = cw_quarantine_observe_crash(q->table, clock_ms(), suspects, &crash, observations);
    watch_for_data(server, clock_ms());
    publish_observations(q, observations, count);
}

/* Clears the suspects from index first on of crashes up to began_ms, the start of a response. */
static void clear_suspects(quarantine_t* q, const cw_suspects_t* suspects, uint32_t first, const pool_t* pool,
                           int64_t began_ms) {
    cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
    uint32_t pool_id = cw_quarantine_pool(pool->id);
    cw_quarantine_on_answer(q->table, clock_ms(), suspects, pool_id);
    uint32_t count = cw_quarantine_clearances(q->table, clock_ms(), suspects, first, pool_id, began_ms, observations);
    publish_observations(q, observations, count);
}

void quarantine_on_response_started(quarantine_t* q, const cw_suspects_t* suspects, const server_t* server,
                                    int64_t began_ms) {
    cw_quarantine_observation_t survival;
    clear_suspects(q, suspects, 1, server->pool, began_ms);
    if (cw_quarantine_observe_survival(q->table, suspects, server->key, cw_quarantine_pool(server->pool->id),
                                       &survival)) {
        publish_observations(q, &survival, 1);
    }
}

/* The same content may crash a server at any point of its response, so a complete response clears it up to now. */
void quarantine_on_response(quarantine_t* q, const cw_suspects_t* suspects, const pool_t* pool, int64_t began_ms) {
    cw_suspects_t content = {.count = 1, .items = {suspects->items[0]}};
    clear_suspects(q, &content, 0, pool, clock_ms());
    clear_suspects(q, suspects, 1, pool, began_ms);
}

void quarantine_on_server_alive(quarantine_t* q, const server_t* server) {
    cw_quarantine_observation_t observation = {.kind = CW_OBSERVED_ALIVE, .incarnation = server->key};
    publish_observations(q, &observation, 1);
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

/* Formats the crashes of a quarantined suspect for the log: "INCARNATION:AGE_MS" each, with "?" after a trial. */
static void format_crashes(const cw_quarantine_entry_t* quarantined, char* out, size_t size) {
    size_t n = 0;
    out[0] = 0;
    for (uint32_t i = 0; i < quarantined->count && n < size; i++) {
        n += (size_t)snprintf(out + n, size - n, "%s%016llx:%u%s", i ? "," : "",
                              (unsigned long long)quarantined->incarnations[i], quarantined->age_ms[i],
                              quarantined->is_trial[i] ? "?" : "");
    }
}

static void log_newly_quarantined(quarantine_t* q) {
    cw_quarantine_entry_t quarantined;
    char crashes[CW_QUARANTINE_MAX_CRASHES * 32];
    char suspect[CW_SUSPECT_TEXT_MAX];
    while (cw_quarantine_next_newly_quarantined(q->table, clock_ms(), &quarantined)) {
        format_crashes(&quarantined, crashes, sizeof(crashes));
        cw_log(q->desc.log, CW_EVENT_REQUEST_BARRED, "%s ends=%s retry_ms=%u",
               cw_suspect_format(&quarantined.suspect, suspect), crashes, quarantined.verdict.retry_ms);
    }
}

void quarantine_tick(quarantine_t* q) {
    uint64_t version = cw_quarantine_version(q->table);
    if (version != q->checked_version) {
        q->checked_version = version;
        q->changed_ms = clock_ms();
    }
    if (q->changed_ms && clock_ms() - q->changed_ms < SETTLING_MS) {
        log_newly_quarantined(q);
        q->desc.on_verdicts_changed(q->desc.user_data);
    }
}

uint32_t quarantine_observations(quarantine_t* q, uint32_t* at, cw_quarantine_observation_t* out, uint32_t max) {
    return cw_quarantine_export(q->table, clock_ms(), at, out, max);
}

void quarantine_write_json(quarantine_t* q, cw_buffer_t* out) {
    cw_quarantine_write_json(q->table, clock_ms(), out);
}

bool quarantine_release(quarantine_t* q, const char* fingerprint, const char* workspace) {
    cw_fingerprint_t suspect = cw_suspect_parse(fingerprint, workspace);
    if (!cw_quarantine_has_crashes(q->table, &suspect)) {
        return false;
    }
    cw_quarantine_observation_t released = {.kind = CW_OBSERVED_CLEARED, .suspect = suspect};
    publish_observations(q, &released, 1);
    return true;
}

quarantine_stats_t quarantine_stats(const quarantine_t* q) {
    return (quarantine_stats_t){.suspects = cw_quarantine_stats(q->table, clock_ms()),
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
