/* The composition root: sets up the modules, connects them by callbacks and shuts them down in order. Dependencies
   point one way: frontend, upstream, sync and mesh don't depend on each other, exchange depends on frontend and
   upstream, and this file on all of them. */
#include "gateway.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <unistd.h>

#include "../chalkway_stop.h"
#include "../io/address.h"
#include "../io/file_watch.h"
#include "../io/lines.h"
#include "clock.h"
#include "endpoints.h"
#include "exchange.h"
#include "frontend.h"
#include "inventory.h"
#include "mesh.h"
#include "metrics.h"
#include "quarantine.h"
#include "settings.h"
#include "suspend_detector.h"
#include "sync.h"
#include "tunnel.h"
#include "upstream.h"

#define TICK_S 0.025
#define LOG_BUFFER_BYTES 262144     /* log lines that a slow reader of standard output has not taken yet */
#define DESCRIPTORS_RESERVED 64     /* for all but connections of callers and to servers */
#define TUNNELS_DIVISOR 16          /* a tunnel has two sockets: at most an eighth of all sockets */
#define BODY_MEMORY_DIVISOR 4       /* a quarter of the memory may hold request bodies */
#define STOP_MAX_ACCEPT_SHARE 0.375 /* of the grace period: longest time to accept requests while others run */
#define STOP_MIN_ACCEPT_SHARE 0.25  /* shortest time to accept requests, since callers keep using the address */
#define STOP_MARGIN_MS 500 /* the process exits this long before the grace period ends, or at half of a short one */
#define SETTINGS_CHECK_INTERVAL_MS 250 /* of the settings file, which may change without a signal */
#define CLOSED_POLLS 5                 /* polls within the time in which a closed hall must become known */
#define STALL_MIN_MS 500               /* a longer gap between two ticks is logged: the process stalled */

typedef struct gateway_t {
    struct ev_loop* loop;
    const char* settings_path;
    cw_file_watch_t settings_file;
    gateway_settings_t settings;
    const dialect_t* dialect;
    cw_lines_t lines;
    cw_log_t log;
    upstreams_t* upstreams;
    quarantine_t* quarantine;
    streams_t* streams;
    exchanges_t* exchanges;
    frontend_t* front;
    sync_t* sync;
    mesh_t* mesh;
    inventory_t* inventory;
    tunnels_t* tunnels; /* for other hosts */
    endpoints_t* endpoints;
    cw_catalog_t* catalog; /* active one, NULL: none yet */
    ev_timer tick;
    suspend_detector_t suspend_detector;
    ev_signal on_term, on_int, on_hup;
    int64_t tick_ms;
    cw_stop_t stop;
} gateway_t;

/* -- callbacks between modules -------------------------------------------- */

static void write_line(const char* line, void* user) {
    gateway_t* g = user;
    cw_lines_add(&g->lines, line);
}

static frontend_limits_t front_limits(void* user) {
    gateway_t* g = user;
    if (!g->catalog) {
        return (frontend_limits_t){
            .head_bytes = 16384, .body_bytes = 1 << 20, .head_ms = 5000, .idle_ms = 15000, .is_provisional = true};
    }
    const cw_catalog_limits_t* l = &g->catalog->limits;
    return (frontend_limits_t){
        .head_bytes = l->head_bytes, .body_bytes = l->body_bytes, .head_ms = l->head_ms, .idle_ms = l->idle_ms};
}

static void on_request(caller_t* caller, void* user) {
    exchanges_on_request(((gateway_t*)user)->exchanges, caller);
}

static void on_caller_closed(caller_t* caller, void* user) {
    exchanges_on_caller_closed(((gateway_t*)user)->exchanges, caller);
}

static void on_drained(caller_t* caller, void* user) {
    exchanges_on_drained(((gateway_t*)user)->exchanges, caller);
}

static void on_slot_free(void* user, pool_t* pool) {
    exchanges_on_slot_free(((gateway_t*)user)->exchanges, pool);
}

static void on_load_changed(void* user, const server_t* server, const cw_work_t* work) {
    mesh_on_load(((gateway_t*)user)->mesh, server, work);
}

static void on_liveness_changed(void* user, const server_t* server) {
    mesh_on_liveness(((gateway_t*)user)->mesh, server);
}

static void on_pushback(void* user, const server_t* server) {
    mesh_on_liveness(((gateway_t*)user)->mesh, server);
}

static const cw_member_info_t* choose_tunnel_host(void* user, const pool_t* pool, uint64_t key,
                                                  const uint64_t* excluded, uint32_t excluded_count) {
    return mesh_choose_tunnel_host(((gateway_t*)user)->mesh, pool->name, key, excluded, excluded_count);
}

static bool is_host(void* user, const struct sockaddr_in* address) {
    return mesh_has_host_at(((gateway_t*)user)->mesh, address);
}

/* This host has lost or regained the path to a pool. Other hosts learn of it, so that they don't ask this one for
   tunnels there. */
static void on_reach_changed(void* user, pool_t* changed) {
    gateway_t* g = user;
    uint32_t unreachable = 0;
    for (pool_t* pool = upstreams_pools(g->upstreams); pool; pool = pool->next) {
        unreachable |= pool->reach.is_cut ? cw_member_pool_bit(pool->name) : 0;
    }
    mesh_set_unreachable_pools(g->mesh, unreachable);
    if (changed->reach.is_cut) {
        exchanges_on_pool_cut(g->exchanges, changed);
    }
}

static void on_server_alive(void* user, const server_t* server) {
    quarantine_on_server_alive(((gateway_t*)user)->quarantine, server);
}

static void on_local_observations(void* user, const cw_quarantine_observation_t* observations, uint32_t count) {
    mesh_on_observations(((gateway_t*)user)->mesh, observations, count);
}

static void on_observation(void* user, const cw_quarantine_observation_t* observation) {
    quarantine_on_observation(((gateway_t*)user)->quarantine, observation);
}

static uint32_t observations(void* user, uint32_t* at, cw_quarantine_observation_t* out, uint32_t max) {
    return quarantine_observations(((gateway_t*)user)->quarantine, at, out, max);
}

static void on_verdicts_changed(void* user) {
    exchanges_on_verdicts_changed(((gateway_t*)user)->exchanges);
}

static int64_t list_age_ms(void* user) {
    const gateway_t* g = user;
    return g->sync ? sync_stats(g->sync).servers_age_ms : -1;
}

static void announce_streams(void* user, const cw_stream_record_t* records, uint32_t count) {
    mesh_announce_streams(((gateway_t*)user)->mesh, records, count);
}

static void deposit_stream(void* user, const cw_stream_record_t* record) {
    mesh_deposit_stream(((gateway_t*)user)->mesh, record);
}

static uint32_t query_stream(void* user, uint64_t stream, uint64_t pool) {
    return mesh_query_stream(((gateway_t*)user)->mesh, stream, pool);
}

static void inquire_stream(void* user, const cw_stream_entry_t* inquiry, cw_stream_audience_t* audience) {
    mesh_inquire_stream(((gateway_t*)user)->mesh, inquiry, audience);
}

static uint64_t fleet_set(void* user) {
    return mesh_fleet_set(((gateway_t*)user)->mesh);
}

static bool is_inventory_complete(void* user) {
    return inventory_is_complete(((gateway_t*)user)->inventory);
}

static uint32_t count_unlisted(void* user, uint64_t pool, uint64_t* version) {
    return inventory_count_failed(((gateway_t*)user)->inventory, pool, version);
}

static bool read_history(void* user, int64_t since_ms) {
    return sync_read_history(((gateway_t*)user)->sync, since_ms);
}

static void on_stream_inquiry(void* user, const cw_stream_entry_t* inquiry, cw_stream_entry_t* reply) {
    streams_on_inquiry(((gateway_t*)user)->streams, inquiry, reply);
}

static void on_stream_evidence(void* user, uint64_t host, const cw_stream_entry_t* reply) {
    exchanges_on_stream_evidence(((gateway_t*)user)->exchanges, host, reply);
}

static void on_revisions_reset(void* user) {
    upstreams_reset_revisions(((gateway_t*)user)->upstreams);
}

static void on_history(void* user, const cw_servers_t* entries, source_coverage_t coverage) {
    streams_t* streams = ((gateway_t*)user)->streams;
    for (uint32_t i = 0; i < entries->count; i++) {
        streams_learn_listed(streams, &entries->items[i]);
    }
    streams_on_history(streams, coverage);
}

static void on_stream_resolved(void* user, uint64_t stream) {
    exchanges_on_stream_resolved(((gateway_t*)user)->exchanges, stream);
}

static void on_stream_announced(void* user, const cw_stream_record_t* record) {
    streams_on_announced(((gateway_t*)user)->streams, record);
}

static bool on_stream_query(void* user, uint64_t stream, uint64_t pool, cw_stream_record_t* record) {
    return streams_on_query(((gateway_t*)user)->streams, stream, pool, record);
}

static bool is_handover_due(void* user) {
    return streams_is_handover_due(((gateway_t*)user)->streams, clock_ms());
}

static bool next_handover(void* user, const uint64_t* candidates, uint32_t count, cw_handover_request_t* request) {
    return streams_next_handover(((gateway_t*)user)->streams, clock_ms(), candidates, count, request);
}

static void write_page(void* user, uint64_t cursor, cw_stream_message_t* message) {
    streams_write_page(((gateway_t*)user)->streams, cursor, message);
}

static void on_page(void* user, const cw_stream_message_t* message) {
    streams_on_page(((gateway_t*)user)->streams, message);
}

static void on_done(void* user, const char* route, const char* workspace, exchange_outcome_t outcome, uint32_t first_ms,
                    uint32_t took_ms) {
    endpoints_count_request(((gateway_t*)user)->endpoints, route, workspace, (uint32_t)outcome, first_ms, took_ms);
}

static void announce_revision(gateway_t* g) {
    mesh_announce(g->mesh, sync_revision(g->sync), 0);
}

static void on_servers(void* user, const cw_servers_t* list, bool after_outage) {
    gateway_t* g = user;
    uint32_t changes = upstreams_set_servers(g->upstreams, clock_ms(), list, after_outage);
    if (!changes) {
        return;
    }
    cw_log(&g->log, CW_EVENT_SERVERS_CHANGED, "changes=%u listed=%u at=%lld after_outage=%d", changes, list->count,
           (long long)list->at, after_outage);
    for (pool_t* pool = upstreams_pools(g->upstreams); pool; pool = pool->next) {
        exchanges_on_slot_free(g->exchanges, pool);
    }
}

static void on_catalog(void* user, cw_catalog_t* catalog) {
    gateway_t* g = user;
    cw_catalog_t* previous = g->catalog;
    g->catalog = cw_catalog_retain(catalog);
    cw_catalog_release(previous);
    upstreams_set_catalog(g->upstreams, catalog);
    const cw_servers_t* list = g->sync ? sync_servers(g->sync) : NULL;
    if (list) {
        on_servers(g, list, false); /* pools were added or removed */
    }
    streams_set_longest_ms(g->streams, cw_catalog_longest_stream_ms(catalog));
    exchanges_set_catalog(g->exchanges, catalog);
    announce_revision(g);
}

static cw_source_state_t source_state(void* user) {
    gateway_t* g = user;
    return g->sync ? sync_source_state(g->sync) : (cw_source_state_t){0};
}

static void on_source_state(void* user, const char* share, bool is_remote, const cw_source_state_t* peer_state) {
    sync_on_peer_state(((gateway_t*)user)->sync, share, is_remote, peer_state);
}

static void on_members(void* user, uint32_t daemons, uint32_t rank) {
    gateway_t* g = user;
    upstreams_set_peak_daemons(g->upstreams, daemons);
    streams_set_peak_hosts(g->streams, daemons);
    sync_set_rank(g->sync, rank, daemons);
}

static bool owns_server(void* user, uint64_t server) {
    return mesh_owns_key(((gateway_t*)user)->mesh, server);
}

static bool is_converged(void* user) {
    return mesh_is_converged(((gateway_t*)user)->mesh, clock_ms());
}

static void on_cached_parts(void* user, server_t* server, const cw_prompt_part_t* parts, uint32_t count) {
    if (server->is_removed) {
        return; /* it gets no further prompts */
    }
    for (uint32_t i = 0; i < count; i++) {
        cw_balance_on_peer_prompt(server->pool->balance, server->key, &parts[i]);
    }
    mesh_announce_cached(((gateway_t*)user)->mesh, server, parts, count);
}

static void on_listed_parts(void* user, const server_t* server, const cw_prompt_part_t* parts, uint32_t count) {
    streams_on_cached_parts(((gateway_t*)user)->streams, server->pool, cw_server_version_id(&server->published), parts,
                            count);
}

static bool needs_runs(void* user) {
    return streams_may_have_missed(((gateway_t*)user)->streams);
}

static void on_runs(void* user, const server_t* server, const cw_prompt_part_t* runs, uint32_t count) {
    streams_on_runs(((gateway_t*)user)->streams, server->pool, cw_server_version_id(&server->published), runs, count);
}

static bool is_ready(void* user) {
    gateway_t* g = user;
    return sync_is_ready(g->sync) && g->stop.phase == CW_STOP_NONE;
}

static uint32_t lookup_addresses(void* user, const char* hall, const char** out, uint32_t max) {
    gateway_t* g = user;
    return mesh_caller_addresses(g->mesh, hall, is_ready(g), out, max);
}

static void write_metrics(void* user, cw_buffer_t* out) {
    const gateway_t* g = user;
    metrics_modules_t modules = {.upstreams = g->upstreams,
                                 .quarantine = g->quarantine,
                                 .streams = g->streams,
                                 .exchanges = g->exchanges,
                                 .front = g->front,
                                 .sync = g->sync,
                                 .mesh = g->mesh,
                                 .tunnels = g->tunnels,
                                 .log_lines_dropped = g->lines.dropped_total};
    metrics_write(&modules, out);
}

static void write_quarantine(void* user, cw_buffer_t* out) {
    quarantine_write_json(((gateway_t*)user)->quarantine, out);
}

static bool release_request(void* user, const char* fingerprint, const char* workspace) {
    return quarantine_release(((gateway_t*)user)->quarantine, fingerprint, workspace);
}

/* -- stop, resume, settings, tick ----------------------------------------- */

/* A planned stop: callers are asked to use other hosts first, then new requests are refused, then the process exits.
   After ev_break the loop still handles the remaining events of this iteration. */
static void check_stop(gateway_t* g, int64_t now_ms) {
    if (g->stop.phase == CW_STOP_NONE) {
        return;
    }
    /* A response is over when its caller has it, not when it has been received from the server. */
    uint32_t active =
        exchanges_stats(g->exchanges).active + tunnels_stats(g->tunnels).busy + frontend_unsent(g->front).responses;
    cw_stop_phase_t phase = cw_stop_update(&g->stop, now_ms, active);
    if (phase >= CW_STOP_REFUSING) {
        exchanges_refuse_new(g->exchanges);
    }
    if (phase == CW_STOP_EXIT) {
        ev_break(g->loop, EVBREAK_ALL);
    }
}

/* Runs before any other event after a suspension: ends requests whose deadline passed, and stops using idle
   connections. Ages need no correction, since the clock counts suspended time. */
static void on_resume(void* user, int64_t suspended_ms) {
    gateway_t* g = user;
    cw_log(&g->log, CW_EVENT_WOKE, "gap_ms=%lld suspended_ms=%lld active=%u", (long long)suspended_ms,
           (long long)suspended_ms, exchanges_stats(g->exchanges).active);
    g->tick_ms = clock_ms();
    exchanges_on_resume(g->exchanges);
    upstreams_on_resume(g->upstreams);
}

static void log_stall(gateway_t* g, int64_t now_ms) {
    int64_t gap_ms = g->tick_ms ? now_ms - g->tick_ms : 0;
    g->tick_ms = now_ms;
    if (gap_ms > STALL_MIN_MS) {
        cw_log(&g->log, CW_EVENT_WOKE, "gap_ms=%lld suspended_ms=0 active=%u", (long long)gap_ms,
               exchanges_stats(g->exchanges).active);
    }
}

static void on_stop(struct ev_loop* loop, ev_signal* w, int events) {
    (void)loop;
    (void)events;
    gateway_t* g = w->data;
    if (g->stop.phase != CW_STOP_NONE) {
        return;
    }
    uint32_t grace_ms = g->settings.grace_ms;
    cw_stop_begin(
        &g->stop, clock_ms(),
        &(cw_stop_desc_t){.min_accept_ms = (uint32_t)(STOP_MIN_ACCEPT_SHARE * grace_ms),
                          .max_accept_ms = (uint32_t)(STOP_MAX_ACCEPT_SHARE * grace_ms),
                          .force_exit_ms = grace_ms > 2 * STOP_MARGIN_MS ? grace_ms - STOP_MARGIN_MS : grace_ms / 2});
    cw_log(&g->log, CW_EVENT_STOPPING, "active=%u", exchanges_stats(g->exchanges).active);
    exchanges_set_exit_time(g->exchanges, g->stop.begun_ms + g->stop.desc.force_exit_ms);
    frontend_drain(g->front);
    mesh_leave(g->mesh);
    tunnels_drain(g->tunnels);
}

static void log_ignored(const cw_setting_info_t* info, void* user) {
    const gateway_t* g = user;
    cw_log(&g->log, CW_EVENT_SETTING_IGNORED, "section=%s key=%s", info->section, info->key);
}

/* Passes the reloadable settings to the modules that hold a copy. */
static void apply_settings(gateway_t* g) {
    const gateway_settings_t* s = &g->settings;
    g->log.level = cw_log_level(s->log_level);
    g->log.json = strcmp(s->log_format, "json") == 0;
    endpoints_set_max_age(g->endpoints, s->lookup_keep_ms);
    upstreams_set_limits(g->upstreams, &(upstreams_limits_t){.retry_ratio = s->retry_ratio,
                                                             .retry_slack = s->retry_slack,
                                                             .backoff_max_ms = s->backoff_max_ms});
}

/* Reads the settings again. An invalid file is refused as a whole: it may be half written, and is read again when it
   changes. */
static void reload(gateway_t* g) {
    gateway_settings_t reloaded;
    cw_settings_errors_t errors = {0};
    uint32_t count = 0;
    const cw_setting_info_t* table = gateway_settings_info(&count);
    cw_file_watch_note(&g->settings_file);
    if (gateway_settings_load(g->settings_path, &reloaded, &errors) != CW_OK) {
        for (uint32_t i = 0; i < errors.count; i++) {
            cw_log(&g->log, CW_EVENT_RELOAD_FAILED, "reason=\"%s\"", errors.lines[i]);
        }
        return;
    }
    bool has_new_seeds = strcmp(reloaded.seeds, g->settings.seeds) != 0 || reloaded.seed_port != g->settings.seed_port;
    uint32_t applied = cw_settings_apply(table, count, &g->settings, &reloaded, log_ignored, g);
    apply_settings(g);
    if (has_new_seeds) {
        mesh_update_seeds(g->mesh);
    }
    cw_log(&g->log, CW_EVENT_RELOADED, "path=%s applied=%u", g->settings_path, applied);
}

static void on_reload(struct ev_loop* loop, ev_signal* w, int events) {
    (void)loop;
    (void)events;
    reload(w->data);
}

/* Reloads a settings file that changed without a signal. */
static void check_settings_file(gateway_t* g, int64_t now_ms) {
    if (cw_file_watch_has_changed(&g->settings_file, now_ms, SETTINGS_CHECK_INTERVAL_MS)) {
        reload(g);
    }
}

static void on_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    gateway_t* g = w->data;
    int64_t now_ms = clock_ms();
    log_stall(g, now_ms);
    check_settings_file(g, now_ms);
    announce_revision(g);
    mesh_tick(g->mesh, now_ms);
    sync_tick(g->sync, now_ms);
    upstreams_tick(g->upstreams, now_ms);
    tunnels_tick(g->tunnels);
    quarantine_tick(g->quarantine);
    streams_tick(g->streams, now_ms);
    inventory_tick(g->inventory, now_ms);
    for (pool_t* pool = upstreams_pools(g->upstreams); pool && exchanges_stats(g->exchanges).waiting;
         pool = pool->next) {
        exchanges_on_slot_free(g->exchanges, pool);
    }
    unsigned long lost = cw_lines_take_dropped(&g->lines);
    if (lost) {
        cw_log(&g->log, CW_EVENT_LINES_LOST, "lines=%lu", lost);
    }
    check_stop(g, now_ms);
}

/* -- setup ---------------------------------------------------------------- */

/* The IP address of "IP:PORT", with port 0. */
static struct sockaddr_in address_of(const char* text) {
    struct sockaddr_in address = {.sin_family = AF_INET};
    cw_addr_parse(text, &address, NULL);
    address.sin_port = 0;
    return address;
}

static bool setup_modules(gateway_t* g, const source_t* source, cw_error_t* err) {
    const gateway_settings_t* s = &g->settings;
    uint64_t host = cw_name_id(s->name);
    uint32_t sockets = s->descriptors > 4 * DESCRIPTORS_RESERVED ? s->descriptors - 200 - DESCRIPTORS_RESERVED : 64;
    g->upstreams = upstreams_setup(&(upstreams_desc_t){.loop = g->loop,
                                                       .log = &g->log,
                                                       .dialect = g->dialect,
                                                       .hall = cw_name_id(s->hall),
                                                       .host = host,
                                                       .retry_ratio = s->retry_ratio,
                                                       .retry_slack = s->retry_slack,
                                                       .retry_window_ms = s->retry_window_ms,
                                                       .max_conns = sockets / 2,
                                                       .max_servers = s->servers,
                                                       .backoff_max_ms = s->backoff_max_ms,
                                                       .forecast = gateway_settings_forecast(s),
                                                       .owns_server = owns_server,
                                                       .list_age_ms = list_age_ms,
                                                       .on_server_alive = on_server_alive,
                                                       .on_pushback = on_pushback,
                                                       .on_reach_changed = on_reach_changed,
                                                       .choose_tunnel_host = choose_tunnel_host,
                                                       .tunnel_source = address_of(s->peer),
                                                       .cluster = s->cluster,
                                                       .on_slot_free = on_slot_free,
                                                       .user_data = g});
    g->quarantine = quarantine_setup(&(quarantine_desc_t){.log = &g->log,
                                                          .upstreams = g->upstreams,
                                                          .entries = s->suspects,
                                                          .retention_ms = s->hold_ms,
                                                          .on_observations = on_local_observations,
                                                          .on_verdicts_changed = on_verdicts_changed,
                                                          .user_data = g});
    g->streams = streams_setup(&(streams_desc_t){.log = &g->log,
                                                 .seed = cw_mix(host, (uint64_t)clock_ms()),
                                                 .upstreams = g->upstreams,
                                                 .list_age_ms = list_age_ms,
                                                 .announce = announce_streams,
                                                 .deposit = deposit_stream,
                                                 .query = query_stream,
                                                 .inquire = inquire_stream,
                                                 .fleet_set = fleet_set,
                                                 .is_inventory_complete = is_inventory_complete,
                                                 .count_unlisted = count_unlisted,
                                                 .read_history = read_history,
                                                 .on_resolved = on_stream_resolved,
                                                 .user_data = g});
    g->exchanges = exchanges_setup(&(exchanges_desc_t){.loop = g->loop,
                                                       .log = &g->log,
                                                       .dialect = g->dialect,
                                                       .upstreams = g->upstreams,
                                                       .quarantine = g->quarantine,
                                                       .streams = g->streams,
                                                       .seed = cw_mix(host, (uint64_t)clock_ms()),
                                                       .on_load_changed = on_load_changed,
                                                       .on_liveness_changed = on_liveness_changed,
                                                       .on_done = on_done,
                                                       .user_data = g});
    g->mesh = mesh_setup(&(mesh_desc_t){.loop = g->loop,
                                        .log = &g->log,
                                        .settings = s,
                                        .upstreams = g->upstreams,
                                        .source_state = source_state,
                                        .on_source_state = on_source_state,
                                        .on_members = on_members,
                                        .on_observation = on_observation,
                                        .observations = observations,
                                        .on_stream_announced = on_stream_announced,
                                        .on_stream_query = on_stream_query,
                                        .on_stream_inquiry = on_stream_inquiry,
                                        .on_stream_evidence = on_stream_evidence,
                                        .is_handover_due = is_handover_due,
                                        .next_handover = next_handover,
                                        .write_page = write_page,
                                        .on_page = on_page,
                                        .user_data = g},
                         err);
    g->tunnels = !g->mesh ? NULL
                          : tunnels_setup(&(tunnels_desc_t){.loop = g->loop,
                                                            .log = &g->log,
                                                            .upstreams = g->upstreams,
                                                            .address = s->peer,
                                                            .cluster = s->cluster,
                                                            .max_tunnels = sockets / TUNNELS_DIVISOR,
                                                            .is_host = is_host,
                                                            .user_data = g},
                                          err);
    g->sync = !g->tunnels ? NULL
                          : sync_setup(&(sync_desc_t){.loop = g->loop,
                                                      .log = &g->log,
                                                      .source = source,
                                                      .address = s->source,
                                                      .share = s->share,
                                                      .share_connections = sockets / 8,
                                                      .seed = cw_mix(host, (uint64_t)clock_ms()),
                                                      .closed_poll_age_ms = s->close_ms / CLOSED_POLLS,
                                                      .poll_age_ms = s->poll_age_ms,
                                                      .last_rank_poll_age_ms = gateway_settings_last_rank_age_ms(s),
                                                      .is_first_start = s->first_start != 0,
                                                      .on_catalog = on_catalog,
                                                      .on_servers = on_servers,
                                                      .on_revisions_reset = on_revisions_reset,
                                                      .on_history = on_history,
                                                      .user_data = g},
                                       err);
    g->inventory = inventory_setup(&(inventory_desc_t){.loop = g->loop,
                                                       .log = &g->log,
                                                       .dialect = g->dialect,
                                                       .upstreams = g->upstreams,
                                                       .owns_server = owns_server,
                                                       .fleet_set = fleet_set,
                                                       .is_converged = is_converged,
                                                       .on_cached_parts = on_cached_parts,
                                                       .on_listed_parts = on_listed_parts,
                                                       .needs_runs = needs_runs,
                                                       .on_runs = on_runs,
                                                       .user_data = g});
    g->endpoints = !g->sync ? NULL
                            : endpoints_setup(&(endpoints_desc_t){.loop = g->loop,
                                                                  .dialect = g->dialect,
                                                                  .ready = s->ready,
                                                                  .lookup = s->lookup,
                                                                  .metrics = s->metrics,
                                                                  .max_age_ms = s->lookup_keep_ms,
                                                                  .is_ready = is_ready,
                                                                  .addresses = lookup_addresses,
                                                                  .write_metrics = write_metrics,
                                                                  .write_quarantine = write_quarantine,
                                                                  .release = release_request,
                                                                  .user_data = g},
                                              err);
    g->front = !g->endpoints
                   ? NULL
                   : frontend_setup(&(frontend_desc_t){.loop = g->loop,
                                                       .address = s->callers,
                                                       .max_connections = sockets / 2,
                                                       .max_body_total = s->memory_bytes / BODY_MEMORY_DIVISOR,
                                                       .retry_after_field = g->dialect->fields.retry_after,
                                                       .limits = front_limits,
                                                       .on_request = on_request,
                                                       .on_caller_closed = on_caller_closed,
                                                       .on_drained = on_drained,
                                                       .user_data = g},
                                    err);
    return g->front != NULL;
}

static void watch_signal(gateway_t* g, ev_signal* w, int number, void (*handler)(struct ev_loop*, ev_signal*, int)) {
    ev_signal_init(w, handler, number);
    w->data = g;
    ev_signal_start(g->loop, w);
}

/* Called before the modules are set up, so that a signal during the setup is handled once the loop runs and doesn't end
   the process. */
static void watch_signals(gateway_t* g) {
    signal(SIGPIPE, SIG_IGN);
    watch_signal(g, &g->on_term, SIGTERM, on_stop);
    watch_signal(g, &g->on_int, SIGINT, on_stop);
    watch_signal(g, &g->on_hup, SIGHUP, on_reload);
}

static void run(gateway_t* g) {
    ev_timer_init(&g->tick, on_tick, 0.0, TICK_S);
    g->tick.data = g;
    ev_timer_start(g->loop, &g->tick);
    suspend_detector_setup(&g->suspend_detector, g->loop, on_resume, g);
    cw_log(&g->log, CW_EVENT_STARTED, "host=%s hall=%s callers=%s peer=%s dialect=%s", g->settings.name,
           g->settings.hall, g->settings.callers, g->settings.peer, g->dialect->name);
    ev_run(g->loop, 0);
    suspend_detector_shutdown(&g->suspend_detector);
    uint32_t cut = exchanges_stats(g->exchanges).active;
    exchanges_end_all(g->exchanges);
    frontend_unsent_t unsent = frontend_unsent(g->front);
    cw_log(&g->log, CW_EVENT_STOPPED, "cut=%u unread=%u unread_bytes=%llu", cut, unsent.responses,
           (unsigned long long)unsent.bytes);
}

static void shutdown_modules(gateway_t* g) {
    exchanges_shutdown(g->exchanges);
    quarantine_shutdown(g->quarantine);
    streams_shutdown(g->streams);
    frontend_shutdown(g->front);
    endpoints_shutdown(g->endpoints);
    inventory_shutdown(g->inventory);
    sync_shutdown(g->sync);
    tunnels_shutdown(g->tunnels);
    mesh_shutdown(g->mesh);
    upstreams_shutdown(g->upstreams);
    cw_catalog_release(g->catalog);
    cw_lines_shutdown(&g->lines);
}

int gateway_main(const char* settings_path, const dialect_t* dialect, const source_t* source) {
    gateway_t g = {.settings_path = settings_path, .settings_file = {.path = settings_path}, .dialect = dialect};
    cw_settings_errors_t errors = {0};
    cw_error_t err = {0};
    g.loop = ev_default_loop(0);
    watch_signals(&g);
    cw_file_watch_note(&g.settings_file);
    if (gateway_settings_load(settings_path, &g.settings, &errors) != CW_OK) {
        for (uint32_t i = 0; i < errors.count; i++) {
            fprintf(stderr, "%s\n", errors.lines[i]);
        }
        return EX_CONFIG;
    }
    cw_lines_setup(&g.lines, g.loop, STDOUT_FILENO, LOG_BUFFER_BYTES);
    g.log = (cw_log_t){.level = cw_log_level(g.settings.log_level),
                       .json = strcmp(g.settings.log_format, "json") == 0,
                       .write = write_line,
                       .user_data = &g};
    if (!setup_modules(&g, source, &err)) {
        fprintf(stderr, "%s\n", cw_error_text(&err).text);
        return EX_UNAVAILABLE;
    }
    run(&g);
    shutdown_modules(&g);
    return EX_OK;
}
