#include "node.h"

#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

#define TICK_INTERVAL_S 0.05
#define SUSPEND_DETECT_MS 1000         /* a gap between ticks of this length means that the process was suspended */
#define STALE_VIEW_MAX_MS 400          /* after a resume, longest wait for gossip before the view is trusted again */
#define STOP_MAX_ACCEPT_SHARE 0.375    /* of the grace period: longest time to accept requests */
#define STOP_FLUSH_MS 500              /* time to send the last responses, or half of a short grace period */
#define SETTINGS_CHECK_INTERVAL_MS 250 /* of the settings file, which may change without a signal */

int64_t node_now_ms(void) {
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

uint32_t node_list_live_hosts(const node_t* node, uint64_t out[NODE_MAX_HOSTS]) {
    uint32_t count = cw_members_list_live(node->members, CW_MEMBERS_ELIGIBLE, out, NODE_MAX_HOSTS);
    return count ? count : cw_members_list_live(node->members, CW_MEMBERS_ALL, out, NODE_MAX_HOSTS);
}

uint64_t node_shard_owner(const node_t* node, uint64_t shard, const uint64_t* hosts, uint32_t count) {
    return node->policy == POLICY_SHARED ? cw_rendezvous_owner(shard, hosts, count) : node->host;
}

pool_layout_t node_pool_layout(const cw_snapshot_t* snapshot, const cw_pool_t* pool) {
    pool_layout_t l = {.pool = pool->id};
    for (uint32_t i = 0; i < snapshot->upstream_count && l.count < NODE_MAX_POOL; i++) {
        if (snapshot->upstreams[i].pool_id == pool->id) {
            l.ids[l.count++] = snapshot->upstreams[i].id;
        }
    }
    l.shard_count = cw_rendezvous_shard_count(l.count, pool->shard_size);
    return l;
}

bool node_is_upstream_leaving(const node_t* node, const cw_upstream_t* u) {
    for (uint32_t i = 0; i < node->listed_host_count; i++) {
        if (node->listed_hosts[i].id == u->id && node->listed_hosts[i].leaving) {
            return true;
        }
    }
    return u->leaving;
}

uint32_t node_slot_share(const node_t* node, const cw_upstream_t* u, const uint64_t* hosts, uint32_t count) {
    if (u->slots >= count) {
        return u->slots / count;
    }
    return cw_rendezvous_rank(u->id, node->host, hosts, count) < u->slots ? 1 : 0;
}

uint32_t node_shard_specs(const node_t* node, const cw_snapshot_t* snapshot, const pool_layout_t* layout,
                          uint64_t shard, bool own_share_only, cw_pick_spec_t specs[CW_PICK_MAX]) {
    uint64_t hosts[NODE_MAX_HOSTS];
    uint32_t host_count = node_list_live_hosts(node, hosts);
    uint32_t count = 0;
    for (uint32_t i = 0; i < snapshot->upstream_count && count < CW_PICK_MAX; i++) {
        const cw_upstream_t* u = &snapshot->upstreams[i];
        if (u->pool_id != layout->pool ||
            cw_rendezvous_shard(layout->pool, u->id, layout->ids, layout->count, layout->shard_count) != shard) {
            continue;
        }
        uint32_t slots = own_share_only ? node_slot_share(node, u, hosts, host_count) : u->slots;
        if (slots) {
            specs[count++] = (cw_pick_spec_t){.id = u->id,
                                              .hall = cw_name_id(u->hall),
                                              .version = u->version[0] ? u->version_id : 0,
                                              .slots = slots,
                                              .leaving = node_is_upstream_leaving(node, u)};
        }
    }
    return count;
}

/* -- messages ------------------------------------------------------------- */

static void on_message(void* user, uint64_t from, const cw_msg_t* msg) {
    node_t* node = user;
    switch (msg->type) {
        case CW_MSG_SLOT_REQUEST:
        case CW_MSG_CANCEL:
        case CW_MSG_GRANT_RELEASE:
        case CW_MSG_GRANT_DIGEST:
        case CW_MSG_GRANT_LIST:
            allocator_on_message(node->allocator, from, msg);
            break;
        case CW_MSG_ACTION:
            entry_on_action(node->entry, from, msg);
            break;
        case CW_MSG_OBSERVATION:
            entry_on_observation(node->entry, &msg->observation);
            break;
        case CW_MSG_DOCUMENT_PULL:
        case CW_MSG_DOCUMENT_CHUNK:
            sync_on_message(node->sync, from, msg);
            break;
        default:
            break;
    }
}

cw_status_t node_send(node_t* node, uint64_t host, const cw_msg_t* msg) {
    if (host == node->host) {
        on_message(node, host, msg);
        return CW_OK;
    }
    const cw_member_t* member = cw_members_find(node->members, host);
    return member ? cw_peers_send(node->peers, host, member->info.peer, msg) : CW_ERR_NOT_FOUND;
}

static void send_gossip(node_t* node) {
    cw_gossip_out_t out;
    while (cw_members_next(node->members, &out)) {
        cw_peers_send_gossip(node->peers, out.to, &out.message);
    }
}

/* Notifies entry and allocator of a membership change, once per change. */
static void notify_members_changed(node_t* node) {
    uint64_t changes = cw_members_change_count(node->members);
    if (changes == node->notified_change_count) {
        return;
    }
    node->notified_change_count = changes;
    uint64_t hosts[NODE_MAX_HOSTS];
    cw_log(&node->log, CW_EVENT_MEMBERS_CHANGED, "live=%u known=%u", node_list_live_hosts(node, hosts),
           cw_members_count(node->members));
    entry_on_cluster_changed(node->entry);
    allocator_on_cluster_changed(node->allocator);
}

static void on_gossip(void* user, const cw_gossip_t* gossip) {
    node_t* node = user;
    cw_members_receive(node->members, node_now_ms(), gossip);
    node->is_view_stale = false;
    sync_on_peer_revision(node->sync, gossip->from.id, gossip->revision);
    notify_members_changed(node);
    send_gossip(node);
}

static void on_peer_closed(void* user, uint64_t host, bool connection_refused) {
    node_t* node = user;
    cw_log(&node->log, CW_EVENT_PEER_CLOSED, "peer=%016llx", (unsigned long long)host);
    if (connection_refused) {
        cw_members_suspect(node->members, node_now_ms(), host);
        notify_members_changed(node);
    } else {
        cw_members_probe_now(node->members, node_now_ms(), host);
        const cw_member_t* member = cw_members_find(node->members, host);
        if (member && !member->info.leaving && member->info.state == CW_MEMBER_ALIVE) {
            /* If the process has ended, its machine refuses the new connection, which shows it at once. */
            cw_peers_connect(node->peers, host, member->info.peer);
        }
    }
    send_gossip(node);
    entry_on_peer_closed(node->entry, host);
}

static void on_peer_protocol_error(void* user, const cw_error_t* err) {
    node_t* node = user;
    cw_log(&node->log, CW_EVENT_PEER_REFUSED, "step=%s peer=%s reason=\"%s\"", err->step, err->peer, err->message);
}

/* -- timer and stop ------------------------------------------------------- */

/* Detects by the time between two ticks that the process was suspended. */
static void detect_suspension(node_t* node, int64_t now_ms) {
    int64_t gap_ms = node->last_tick_ms ? now_ms - node->last_tick_ms : 0;
    node->last_tick_ms = now_ms;
    if (gap_ms < SUSPEND_DETECT_MS) {
        if (node->is_view_stale && now_ms - node->resumed_ms > STALE_VIEW_MAX_MS) {
            node->is_view_stale = false;
        }
        return;
    }
    cw_log(&node->log, CW_EVENT_WOKE, "gap_ms=%lld", (long long)gap_ms);
    node->resumed_ms = now_ms;
    node->is_view_stale = cw_members_count(node->members) > 1;
    entry_on_resume(node->entry);
}

bool node_is_stopping(const node_t* node) {
    return node->stop.phase != CW_STOP_NONE;
}

static uint32_t flush_ms(const node_t* node) {
    uint32_t grace_ms = node->settings.grace_ms;
    return grace_ms > 2 * STOP_FLUSH_MS ? STOP_FLUSH_MS : grace_ms / 2;
}

bool node_may_exit_before(const node_t* node, int64_t at_ms) {
    return node_is_stopping(node) && node->stop.begun_ms + node->stop.desc.force_exit_ms < at_ms;
}

/* The grace period ends while requests are active. */
static void begin_forced_exit(node_t* node, int64_t now_ms, uint32_t active) {
    node->aborted_count = active;
    node->exit_ms = now_ms + flush_ms(node);
    entry_end_all(node->entry);
}

/* Ends the loop when a graceful stop is complete: the lookup responses that list this host have expired and no request
   is active, or the grace period is over and the last responses are sent. The remaining events of this iteration are
   still handled after ev_break. */
static void check_stop_complete(node_t* node, int64_t now_ms) {
    /* A response is over when its caller has it, not when it was received from the upstream. */
    uint32_t active = entry_stats(node->entry).active + cw_httpd_unsent_responses(node->http);
    if (cw_stop_update(&node->stop, now_ms, active) != CW_STOP_EXIT) {
        return;
    }
    if (active && !node->exit_ms) {
        begin_forced_exit(node, now_ms, active);
    }
    if (!cw_httpd_unsent_responses(node->http) || now_ms >= node->exit_ms) {
        ev_break(node->loop, EVBREAK_ALL);
    }
}

/* Contacts the seeds that the settings name. Former ones stay: some were named by the platform's list of hosts. */
static void update_seeds(node_t* node) {
    char seeds[CW_SETTINGS_TEXT_MAX];
    char* saveptr = NULL;
    cw_copy(seeds, sizeof(seeds), node->settings.seeds);
    for (char* seed = strtok_r(seeds, ", ", &saveptr); seed; seed = strtok_r(NULL, ", ", &saveptr)) {
        cw_members_add_seed(node->members, seed);
    }
    send_gossip(node);
}

static void log_ignored(const cw_setting_info_t* info, void* user) {
    const node_t* node = user;
    cw_log(&node->log, CW_EVENT_SETTING_IGNORED, "section=%s key=%s", info->section, info->key);
}

/* Reads the settings again. An invalid file is refused as a whole: it may be half written, and is read again when it
   changes. */
static void reload(node_t* node) {
    cw_settings_t reloaded;
    cw_settings_errors_t errors = {0};
    uint32_t count = 0;
    const cw_setting_info_t* table = cw_settings_table(&count);
    cw_file_watch_note(&node->settings_file);
    if (cw_settings_load(node->settings_file.path, &reloaded, &errors) != CW_OK) {
        for (uint32_t i = 0; i < errors.count; i++) {
            cw_log(&node->log, CW_EVENT_RELOAD_FAILED, "reason=\"%s\"", errors.lines[i]);
        }
        return;
    }
    uint32_t applied = cw_settings_apply(table, count, &node->settings, &reloaded, log_ignored, node);
    if (applied) {
        node->log.level = cw_log_level(node->settings.log_level);
        node->log.json = strcmp(node->settings.log_format, "json") == 0;
        update_seeds(node);
    }
    cw_log(&node->log, CW_EVENT_RELOADED, "path=%s applied=%u", node->settings_file.path, applied);
}

static void on_reload_signal(struct ev_loop* loop, ev_signal* w, int events) {
    (void)loop;
    (void)events;
    reload(w->data);
}

static void on_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    node_t* node = w->data;
    int64_t now_ms = node_now_ms();
    detect_suspension(node, now_ms);
    if (cw_file_watch_has_changed(&node->settings_file, now_ms, SETTINGS_CHECK_INTERVAL_MS)) {
        reload(node);
    }
    cw_members_set_status(node->members, cw_store_revision(node->store), entry_free_capacity_percent(node->entry));
    cw_members_tick(node->members, now_ms);
    send_gossip(node);
    notify_members_changed(node);
    allocator_tick(node->allocator, now_ms);
    entry_tick(node->entry, now_ms);
    sync_tick(node->sync, now_ms);
    operator_tick(node, now_ms);
    check_stop_complete(node, now_ms);
}

static void on_stop_signal(struct ev_loop* loop, ev_signal* w, int events) {
    (void)loop;
    (void)events;
    node_t* node = w->data;
    if (node_is_stopping(node)) {
        return;
    }
    /* Callers that follow lookups are at other hosts once the last response that lists this one has expired. */
    uint32_t grace_ms = node->settings.grace_ms;
    uint32_t max_accept_ms = (uint32_t)(STOP_MAX_ACCEPT_SHARE * grace_ms);
    uint32_t accept_ms = node->settings.lookup_ttl_ms < max_accept_ms ? node->settings.lookup_ttl_ms : max_accept_ms;
    cw_stop_begin(&node->stop, node_now_ms(),
                  &(cw_stop_desc_t){.min_accept_ms = accept_ms,
                                    .max_accept_ms = accept_ms,
                                    .force_exit_ms = grace_ms - flush_ms(node)});
    cw_log(&node->log, CW_EVENT_STOPPING, "active=%u", entry_stats(node->entry).active);
    cw_members_leave(node->members);
    send_gossip(node);
    notify_members_changed(node);
}

/* -- setup ---------------------------------------------------------------- */

static uint64_t unix_now_ms(void) {
    struct timeval tv;
    gettimeofday(&tv, NULL);
    return (uint64_t)tv.tv_sec * 1000 + (uint64_t)tv.tv_usec / 1000;
}

static node_policy_t parse_policy(const char* name) {
    static const char* const names[] = {"shared", "solo", "lease", "round-robin"};
    for (int i = 0; i < 4; i++) {
        if (strcmp(name, names[i]) == 0) {
            return (node_policy_t)i;
        }
    }
    return POLICY_SHARED;
}

static void setup_members(node_t* node) {
    const cw_settings_t* s = &node->settings;
    cw_members_desc_t desc = {.seed = node->incarnation,
                              .max_members = NODE_MAX_HOSTS,
                              .period_ms = s->probe_ms,
                              .timeout_ms = s->probe_timeout_ms,
                              .suspect_ms = s->suspect_ms};
    desc.self.id = node->host;
    desc.self.incarnation = unix_now_ms();
    cw_copy(desc.self.name, sizeof(desc.self.name), s->name);
    cw_copy(desc.self.hall, sizeof(desc.self.hall), s->hall);
    cw_copy(desc.self.peer, sizeof(desc.self.peer), cw_peers_address(node->peers));
    cw_copy(desc.self.http, sizeof(desc.self.http), cw_httpd_address(node->http));
    node->members = cw_members_setup(&desc);
    update_seeds(node);
}

static bool setup_servers(node_t* node, cw_error_t* err) {
    const cw_settings_t* s = &node->settings;
    node->peers = cw_peers_setup(&(cw_peers_desc_t){.loop = node->loop,
                                                    .address = s->peer,
                                                    .cluster = s->cluster,
                                                    .host = node->host,
                                                    .on_message = on_message,
                                                    .on_closed = on_peer_closed,
                                                    .on_gossip = on_gossip,
                                                    .on_protocol_error = on_peer_protocol_error,
                                                    .user_data = node},
                                 err);
    node->http = !node->peers ? NULL
                              : cw_httpd_setup(&(cw_httpd_desc_t){.loop = node->loop,
                                                                  .address = s->http,
                                                                  .max_body_bytes = s->max_body_bytes,
                                                                  .max_connections = s->max_connections,
                                                                  .on_request = entry_on_request,
                                                                  .on_caller_closed = entry_on_caller_closed,
                                                                  .on_drained = entry_on_drained,
                                                                  .user_data = node},
                                               err);
    node->operator_http = !node->http ? NULL
                                      : cw_httpd_setup(&(cw_httpd_desc_t){.loop = node->loop,
                                                                          .address = s->operator_http,
                                                                          .max_connections = 100,
                                                                          .on_request = operator_on_request,
                                                                          .on_caller_closed = operator_on_caller_closed,
                                                                          .user_data = node},
                                                       err);
    return node->operator_http != NULL;
}

static void setup_tick(node_t* node) {
    ev_timer_init(&node->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
    node->tick.data = node;
    ev_timer_start(node->loop, &node->tick);
}

/* Runs before the other modules are set up, so that a signal during their setup is handled by the loop and does not
   kill the process. */
static void setup_signals(node_t* node) {
    ev_signal_init(&node->on_term, on_stop_signal, SIGTERM);
    ev_signal_init(&node->on_int, on_stop_signal, SIGINT);
    ev_signal_init(&node->on_hup, on_reload_signal, SIGHUP);
    node->on_term.data = node->on_int.data = node->on_hup.data = node;
    ev_signal_start(node->loop, &node->on_hup);
    ev_signal_start(node->loop, &node->on_term);
    ev_signal_start(node->loop, &node->on_int);
}

node_t* node_setup(const cw_settings_t* settings, const char* settings_path, cw_error_t* err) {
    if (sodium_init() < 0) {
        cw_fail(err, CW_ERR_IO, "start", NULL, "libsodium found no source of random numbers");
        return NULL;
    }
    node_t* node = cw_alloc(NULL, 1, sizeof(*node));
    node->settings = *settings;
    node->settings_file.path = settings_path;
    cw_file_watch_note(&node->settings_file);
    node->log =
        (cw_log_t){.level = cw_log_level(settings->log_level), .json = strcmp(settings->log_format, "json") == 0};
    node->loop = ev_default_loop(EVFLAG_AUTO);
    setup_signals(node);
    node->host = cw_name_id(settings->name);
    node->hall = cw_name_id(settings->hall);
    node->policy = parse_policy(settings->policy);
    do {
        randombytes_buf(&node->incarnation, sizeof(node->incarnation));
    } while (!node->incarnation);
    if (!setup_servers(node, err)) {
        free(node);
        return NULL;
    }
    node->listed_hosts = cw_alloc(NULL, NODE_MAX_LISTED, sizeof(*node->listed_hosts));
    node->client = cw_client_setup(node->loop, 1024);
    node->store = cw_store_setup(&(cw_store_desc_t){0});
    setup_members(node);
    node->allocator = allocator_setup(node);
    node->entry = entry_setup(node);
    node->sync = sync_setup(node);
    setup_tick(node);
    cw_log(&node->log, CW_EVENT_STARTED, "host=%s hall=%s http=%s peer=%s operator=%s", settings->name, settings->hall,
           cw_httpd_address(node->http), cw_peers_address(node->peers), cw_httpd_address(node->operator_http));
    return node;
}

int node_run(node_t* node) {
    ev_run(node->loop, 0);
    cw_log(&node->log, CW_EVENT_STOPPED, "cut=%llu requests=%llu", (unsigned long long)node->aborted_count,
           (unsigned long long)entry_stats(node->entry).requests);
    return node->aborted_count ? 1 : 0;
}

void node_shutdown(node_t* node) {
    ev_timer_stop(node->loop, &node->tick);
    ev_signal_stop(node->loop, &node->on_term);
    ev_signal_stop(node->loop, &node->on_int);
    entry_shutdown(node->entry);
    sync_shutdown(node->sync);
    cw_httpd_shutdown(node->http);
    cw_httpd_shutdown(node->operator_http);
    cw_client_shutdown(node->client);
    cw_peers_shutdown(node->peers);
    allocator_shutdown(node->allocator);
    cw_members_shutdown(node->members);
    cw_store_shutdown(node->store);
    free(node->listed_hosts);
    free(node);
}

/* -- responses ------------------------------------------------------------ */

void reply_json(cw_exchange_t* x, unsigned status, const char* text) {
    const cw_header_t headers[] = {{"Content-Type", "application/json"}};
    cw_exchange_reply(x, status, headers, 1, text, strlen(text));
}

void reply_error(cw_exchange_t* x, unsigned status, cw_outcome_t outcome, const char* code, const char* step,
                 const char* peer, const char* message, uint32_t retry_after_ms) {
    json_t* error =
        json_pack("{s:s,s:s,s:s,s:s}", "code", code, "step", step, "peer", peer ? peer : "", "message", message);
    if (retry_after_ms) {
        json_object_set_new(error, "retry_after_ms", json_integer(retry_after_ms));
    }
    json_t* root = json_pack("{s:o}", "error", error);
    char* text = json_dumps(root, JSON_COMPACT);
    char seconds[16];
    snprintf(seconds, sizeof(seconds), "%u", (retry_after_ms + 999) / 1000);
    cw_header_t headers[3] = {{"Content-Type", "application/json"}};
    uint32_t count = 1;
    if (outcome) {
        headers[count++] = (cw_header_t){"Chalkway-Outcome", cw_outcome_name(outcome)};
    }
    if (retry_after_ms) {
        headers[count++] = (cw_header_t){"Retry-After", seconds};
    }
    cw_exchange_reply(x, status, headers, count, text, strlen(text));
    free(text);
    json_decref(root);
}
