/* Quarantine of requests, and of parts of prompts, that crash upstreams: observes crashes, exchanges the observations
   with the other hosts and holds requests. A part of a prompt is a message other than the last one. */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "../io/quarantine_report.h"
#include "entry_internal.h"

#define SETTLING_MS 300 /* verdicts change for this long after an observation: a pending one becomes final */
#define EXPORT_MAX 64   /* observations exported at a time */
#define HTTP_UNAVAILABLE 503
#define HTTP_BAD_GATEWAY 502

static const char quarantined_code[] = "quarantined";
static const char quarantined_message[] = "upstreams crashed under such requests";

void suspects_setup(entry_t* e) {
    e->quarantine = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
}

void suspects_shutdown(entry_t* e) {
    cw_quarantine_shutdown(e->quarantine);
}

void suspects_init(request_t* r) {
    r->suspects.items[0] = cw_fingerprint(
        r->workspace->id,
        &(cw_fingerprint_parts_t){.method = r->method, .target = r->path, .body = r->body, .size = r->body_size});
    r->suspects.count = r->suspects.count ? r->suspects.count : 1;
}

void suspects_add_message(request_t* r, const char* text) {
    r->suspects.count = r->suspects.count ? r->suspects.count : 1; /* the content comes first */
    cw_suspects_add_part(&r->suspects, XXH64(text, strlen(text), 0));
}

static uint32_t pool_of(const request_t* r) {
    return cw_quarantine_pool(r->pool->id);
}

/* -- observations --------------------------------------------------------- */

static void send_to_others(entry_t* e, const cw_quarantine_observation_t* observations, uint32_t count) {
    uint64_t hosts[NODE_MAX_HOSTS];
    uint32_t host_count = count ? node_list_live_hosts(e->node, hosts) : 0;
    for (uint32_t i = 0; i < count; i++) {
        e->out.type = CW_MSG_OBSERVATION;
        e->out.observation = observations[i];
        for (uint32_t h = 0; h < host_count; h++) {
            if (hosts[h] != e->node->host) {
                node_send(e->node, hosts[h], &e->out);
            }
        }
    }
}

/* Applies observations of this host, at most CW_SUSPECTS_MAX, and sends those that are new to the others. */
static void publish(entry_t* e, const cw_quarantine_observation_t* observations, uint32_t count) {
    cw_quarantine_observation_t published[CW_SUSPECTS_MAX];
    uint32_t published_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (cw_quarantine_observe_and_log(e->quarantine, node_now_ms(), &observations[i], "self", &e->node->log)) {
            published[published_count++] = observations[i];
        }
    }
    send_to_others(e, published, published_count);
}

void entry_on_observation(entry_t* e, const cw_quarantine_observation_t* observation) {
    cw_quarantine_observe_and_log(e->quarantine, node_now_ms(), observation, "other", &e->node->log);
}

void suspects_on_cluster_changed(entry_t* e) {
    uint64_t hosts[NODE_MAX_HOSTS];
    uint32_t live = node_list_live_hosts(e->node, hosts);
    bool has_joined = live > e->known_hosts;
    e->known_hosts = live;
    if (!has_joined) {
        return;
    }
    cw_quarantine_observation_t observations[EXPORT_MAX];
    uint32_t at = 0;
    do {
        uint32_t count = cw_quarantine_export(e->quarantine, node_now_ms(), &at, observations, EXPORT_MAX);
        send_to_others(e, observations, count);
    } while (at);
}

/* How far the response to the attempt has got. */
static cw_run_phase_t phase_of(const request_t* r) {
    if (r->body_began_ms) {
        return node_now_ms() - r->body_began_ms >= START_MS ? CW_RUN_WRITING : CW_RUN_STARTED;
    }
    return r->machine.state == CW_REQ_STREAMING ? CW_RUN_BEGINNING : CW_RUN_WAITING;
}

void suspects_on_broken(request_t* r) {
    r->suspects.claim = 0;
    cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
    const cw_quarantine_observation_t crash = {.kind = CW_OBSERVED_CRASH,
                                               .incarnation = r->upstream,
                                               .pool = pool_of(r),
                                               .version = cw_quarantine_server_version(r->upstream_version),
                                               .phase = phase_of(r)};
    entry_t* e = r->entry;
    uint32_t count = cw_quarantine_observe_crash(e->quarantine, node_now_ms(), &r->suspects, &crash, observations);
    publish(e, observations, count);
}

/* Clears the suspects from index first on of crashes up to began_ms. */
static void clear(request_t* r, uint32_t first, int64_t began_ms) {
    entry_t* e = r->entry;
    cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
    int64_t now_ms = node_now_ms();
    cw_quarantine_on_answer(e->quarantine, now_ms, &r->suspects, pool_of(r));
    uint32_t count =
        cw_quarantine_clearances(e->quarantine, now_ms, &r->suspects, first, pool_of(r), began_ms, observations);
    publish(e, observations, count);
}

/* The response has been written for a while: clears the parts of the prompt, and halves the weight of the content's
   crashes. */
static void report_survival(request_t* r) {
    entry_t* e = r->entry;
    cw_quarantine_observation_t survival;
    clear(r, 1, r->body_began_ms);
    if (cw_quarantine_observe_survival(e->quarantine, &r->suspects, r->upstream, pool_of(r), &survival)) {
        publish(e, &survival, 1);
    }
}

void suspects_on_data(request_t* r) {
    r->body_began_ms = r->body_began_ms ? r->body_began_ms : node_now_ms();
    if (!r->has_survived_start && phase_of(r) == CW_RUN_WRITING) {
        r->has_survived_start = true;
        report_survival(r);
    }
}

void suspects_on_response(request_t* r) {
    clear(r, 0, r->body_began_ms ? r->body_began_ms : node_now_ms());
}

/* -- verdicts ------------------------------------------------------------- */

/* The software version of all upstreams of the request's pool; 0: several. */
static uint32_t version_of_pool(const request_t* r) {
    cw_snapshot_t* newest = cw_store_snapshot(r->entry->node->store);
    uint64_t version = 0;
    bool is_only = true;
    for (uint32_t i = 0; i < newest->upstream_count; i++) {
        const cw_upstream_t* u = &newest->upstreams[i];
        if (u->pool_id == r->pool->id) {
            is_only = is_only && (!version || version == u->version_id);
            version = u->version_id;
        }
    }
    cw_snapshot_release(newest);
    return is_only ? cw_quarantine_server_version(version) : 0;
}

static cw_verdict_t judge(const request_t* r) {
    const cw_quarantine_target_t target = {.pool = pool_of(r), .version = version_of_pool(r)};
    return cw_quarantine_evaluate(r->entry->quarantine, node_now_ms(), &r->suspects, &target);
}

static void log_held(const request_t* r, const cw_verdict_t* verdict) {
    char suspect[CW_SUSPECT_TEXT_MAX];
    cw_log(&r->entry->node->log, CW_EVENT_REQUEST_HELD, "id=%s %s ends=%u retry_ms=%u", r->id,
           cw_suspect_format(&verdict->suspect, suspect), verdict->crashes, verdict->retry_ms);
}

/* Claims the trials of parts of the request's prompt that the verdict requires. */
static void claim_trials(request_t* r, const cw_verdict_t* verdict) {
    entry_t* e = r->entry;
    cw_quarantine_observation_t claims[CW_SUSPECTS_MAX];
    r->suspects.claim = cw_mix(e->node->incarnation, ++e->claim_count) | 1U;
    r->verdict_due_ms = node_now_ms() + CW_QUARANTINE_CLAIM_MS;
    publish(e, claims, cw_quarantine_claims(&r->suspects, verdict, pool_of(r), claims));
}

static void refuse(request_t* r, const cw_verdict_t* verdict) {
    r->entry->stats.quarantined++;
    log_held(r, verdict);
    if (!r->machine.has_sent_bytes) {
        request_set_error(r, HTTP_UNAVAILABLE, quarantined_code, "quarantine", NULL, quarantined_message,
                          verdict->retry_ms);
    }
    request_event(r, CW_EV_REFUSED);
}

bool suspects_admit(request_t* r) {
    cw_verdict_t verdict = judge(r);
    r->verdict_due_ms = 0;
    if (verdict.kind == CW_VERDICT_QUARANTINED) {
        refuse(r, &verdict);
        return false;
    }
    if (verdict.kind == CW_VERDICT_PENDING) {
        r->suspects.claim = 0; /* another claim preceded it */
        r->verdict_due_ms = node_now_ms() + verdict.retry_ms;
    } else if (verdict.kind == CW_VERDICT_TRIAL && verdict.claims && !verdict.is_claimed) {
        claim_trials(r, &verdict);
    }
    return !r->verdict_due_ms;
}

/* The verdict may have changed since the slot was requested. */
bool suspects_on_sending(request_t* r) {
    cw_verdict_t verdict = judge(r);
    if (verdict.kind >= CW_VERDICT_PENDING || (verdict.claims && !verdict.is_claimed)) {
        return false;
    }
    const cw_quarantine_observation_t trial = {
        .kind = CW_OBSERVED_TRIAL, .suspect = r->suspects.items[0], .incarnation = r->upstream, .pool = pool_of(r)};
    if (verdict.is_content_on_trial) {
        publish(r->entry, &trial, 1);
    }
    return true;
}

/* Whether the attempt must be ended. A response that has been written for a while proves the parts of its prompt
   harmless, also those that are quarantined. */
static bool must_end(request_t* r) {
    bool is_running = r->machine.state == CW_REQ_SENT || r->machine.state == CW_REQ_STREAMING;
    if (!r->is_used || !is_running || !r->pool) {
        return false;
    }
    cw_verdict_t verdict = judge(r);
    if (verdict.kind == CW_VERDICT_QUARANTINED && r->has_survived_start) {
        report_survival(r); /* the crashes may have become known later */
        verdict = judge(r);
    }
    bool has_survived = phase_of(r) == CW_RUN_WRITING && cw_fingerprint_is_part(&verdict.suspect);
    return verdict.kind == CW_VERDICT_QUARANTINED && !has_survived;
}

static void log_newly_quarantined(entry_t* e, int64_t now_ms) {
    cw_quarantine_entry_t quarantined;
    char suspect[CW_SUSPECT_TEXT_MAX];
    while (cw_quarantine_next_newly_quarantined(e->quarantine, now_ms, &quarantined)) {
        cw_log(&e->node->log, CW_EVENT_REQUEST_BARRED, "%s ends=%u retry_ms=%u",
               cw_suspect_format(&quarantined.suspect, suspect), quarantined.verdict.crashes,
               quarantined.verdict.retry_ms);
    }
}

void suspects_tick(entry_t* e, int64_t now_ms) {
    uint64_t version = cw_quarantine_version(e->quarantine);
    if (version != e->judged_version) {
        e->judged_version = version;
        e->changed_ms = now_ms;
    }
    if (!e->changed_ms || now_ms - e->changed_ms >= SETTLING_MS) {
        return;
    }
    log_newly_quarantined(e, now_ms);
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (must_end(r)) {
            request_set_error(r, HTTP_BAD_GATEWAY, quarantined_code, "quarantine", NULL, quarantined_message, 0);
            r->machine.is_retry_allowed = false;
            request_event(r, CW_EV_UPSTREAM_FAILED);
        }
    }
}

/* -- operators ------------------------------------------------------------ */

void entry_write_quarantine(entry_t* e, cw_buffer_t* out) {
    cw_quarantine_write_json(e->quarantine, node_now_ms(), out);
}

bool entry_release_suspect(entry_t* e, const char* fingerprint, const char* workspace) {
    const cw_quarantine_observation_t released = {.kind = CW_OBSERVED_CLEARED,
                                                  .suspect = cw_suspect_parse(fingerprint, workspace)};
    if (!cw_quarantine_has_crashes(e->quarantine, &released.suspect)) {
        return false;
    }
    publish(e, &released, 1);
    return true;
}

void suspects_write_metrics(const entry_t* e, FILE* out) {
    cw_quarantine_stats_t stats = cw_quarantine_stats(e->quarantine, node_now_ms());
    fprintf(out, "chalkway_suspect_requests %u\n", stats.entries);
    fprintf(out, "chalkway_held_requests %u\n", stats.quarantined - stats.quarantined_parts);
    fprintf(out, "chalkway_held_parts %u\n", stats.quarantined_parts);
    fprintf(out, "chalkway_held_back_total %llu\n", (unsigned long long)e->stats.quarantined);
}
