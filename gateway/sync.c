#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sync_internal.h"

#define OUTAGE_MS 2000 /* after this time without confirmation of the list, entries may have expired at the source */
#define REFUSALS_LOG_INTERVAL_MS 10000 /* least time between two log lines on invalid entries */

/* -- one call ------------------------------------------------------------- */

static bool on_data(void* user, const char* data, size_t size) {
    fetch_t* f = user;
    cw_buffer_add(&f->body, data, size);
    return true;
}

static void on_head(void* user, unsigned status, const char* content_type) {
    fetch_t* f = user;
    (void)status;
    (void)content_type;
    const char* field = f->sync->desc.source->epoch_field;
    const char* epoch = f->is_source && field ? cw_call_header(f->call, field) : NULL;
    cw_copy(f->epoch, sizeof(f->epoch), epoch ? epoch : "");
}

static void on_done(void* user, const cw_call_result_t* result) {
    fetch_t* f = user;
    cw_buffer_t body = f->body;
    f->body = (cw_buffer_t){0};
    f->call = NULL;
    cw_epoch_verdict_t epoch = result->is_complete && f->epoch[0] ? sync_check_epoch(f->sync, f->epoch) : CW_EPOCH_SAME;
    if (epoch == CW_EPOCH_OLDER) {
        f->on_failure(f->sync, "a response of an earlier epoch");
    } else if (epoch == CW_EPOCH_NEWER && f == &f->sync->servers) {
        sync_poll_full_list(f->sync); /* the request named a revision of the previous epoch */
    } else if (result->is_complete) {
        f->on_response(f->sync, result->status, cw_buffer_text(&body), body.size);
    } else {
        f->on_failure(f->sync, result->message);
    }
    cw_buffer_free(&body);
}

void sync_begin_fetch(fetch_t* f, const char* address, const char* path, uint32_t timeout_ms) {
    char url[CW_SERVER_ADDRESS_MAX + SOURCE_PATH_MAX];
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    cw_copy(f->address, sizeof(f->address), address);
    f->epoch[0] = 0;
    f->begun_ms = clock_ms();
    f->call = cw_client_call(f->client, &(cw_call_desc_t){.url = url,
                                                          .connect_timeout_ms = CALL_TIMEOUT_MS,
                                                          .timeout_ms = timeout_ms,
                                                          .on_head = on_head,
                                                          .on_data = on_data,
                                                          .on_done = on_done,
                                                          .user_data = f});
}

void sync_cancel_fetch(fetch_t* f) {
    if (f->call) {
        cw_call_cancel(f->call);
        f->call = NULL;
        cw_buffer_free(&f->body);
    }
}

uint64_t sync_random(sync_t* s) {
    return cw_mix(s->desc.seed, ++s->random_count);
}

void sync_reset_backoff(fetch_t* f) {
    f->failures = 0;
    f->not_before_ms = 0;
}

/* -- applying documents --------------------------------------------------- */

void sync_apply_catalog(sync_t* s, char* text, const char* from) {
    cw_error_t err = {0};
    cw_catalog_t* catalog = cw_catalog_parse(text, strlen(text), &err);
    if (!catalog) {
        cw_log(s->desc.log, CW_EVENT_CONFIG_INVALID, "peer=%s step=%s reason=\"%s\" revision=%lld", from, err.step,
               err.message, (long long)sync_revision(s));
        free(text);
        return;
    }
    if (catalog->revision <= sync_revision(s)) {
        cw_catalog_release(catalog);
        free(text);
        return;
    }
    cw_catalog_release(s->active_catalog);
    free(s->active_text);
    s->active_catalog = catalog;
    s->active_text = text;
    cw_pull_cancel(&s->catalog_pull);
    cw_log(s->desc.log, CW_EVENT_CONFIG_CHANGED, "revision=%lld routes=%u pools=%u workspaces=%u from=%s",
           (long long)catalog->revision, catalog->route_count, catalog->pool_count, catalog->workspace_count, from);
    s->desc.on_catalog(s->desc.user_data, catalog);
}

/* Logs invalid entries. Entries within REFUSALS_LOG_INTERVAL_MS of the last line are counted in the next one. */
static void log_refused_entries(sync_t* s, const cw_refused_entries_t* refused) {
    int64_t now_ms = clock_ms();
    s->stats.entries_refused += refused->count;
    s->unlogged_refusals += refused->count;
    if (!refused->count || (s->refusals_logged_ms && now_ms - s->refusals_logged_ms < REFUSALS_LOG_INTERVAL_MS)) {
        return;
    }
    cw_log(s->desc.log, CW_EVENT_ENTRY_REFUSED, "key=%s field=%s reason=\"%s\" refused=%llu", refused->key,
           refused->fault.field, refused->fault.reason, (unsigned long long)s->unlogged_refusals);
    s->unlogged_refusals = 0;
    s->refusals_logged_ms = now_ms;
}

/* A source that was restored from a copy lacks halls that were closed after the copy was made. They stay closed until
   the operator had time to close them again. */
static void keep_previous_closed(sync_t* s, cw_closed_halls_t* closed) {
    for (uint32_t i = 0; i < s->previous_closed.count && clock_ms() < s->previous_closed_until_ms; i++) {
        cw_closed_halls_add(closed, s->previous_closed.halls[i]); /* fails when CW_CLOSED_MAX halls are closed */
    }
}

void sync_apply_servers(sync_t* s, cw_servers_t* list, int64_t confirmed_ms) {
    if (confirmed_ms < s->list_confirmed_ms) {
        cw_servers_free(list);
        return;
    }
    bool is_first = s->list_confirmed_ms == NEVER;
    bool is_reset = s->awaits_epoch_list || (!is_first && list->at && list->at < s->list.at);
    bool after_outage = !is_first && (confirmed_ms - s->list_confirmed_ms >= OUTAGE_MS || s->awaits_epoch_list);
    s->awaits_epoch_list = false;
    if (list->closed.at < s->list.closed.at) {
        list->closed = s->list.closed; /* the active list's halls were read later than this list's */
    }
    keep_previous_closed(s, &list->closed);
    cw_servers_sort(list);
    cw_servers_refuse_duplicates(list);
    cw_servers_refuse_without_start(list);
    log_refused_entries(s, &list->refused);
    bool is_same = !is_first && cw_servers_equal(&s->list, list);
    cw_changes_record(&s->changes, &s->list, list);
    cw_servers_free(&s->list);
    s->list = *list;
    *list = (cw_servers_t){0};
    s->list_id = cw_servers_hash(&s->list);
    s->list_confirmed_ms = confirmed_ms;
    cw_pull_cancel(&s->servers_pull);
    if (is_reset && s->desc.on_revisions_reset) {
        s->desc.on_revisions_reset(s->desc.user_data);
    }
    if (!is_same) {
        s->desc.on_servers(s->desc.user_data, &s->list, after_outage);
    }
}

void sync_log_invalid_response(sync_t* s, const char* from, const cw_error_t* err) {
    cw_log(s->desc.log, CW_EVENT_CONFIG_INVALID, "peer=%s step=%s reason=\"%s\" revision=%lld", from, err->step,
           err->message, (long long)sync_revision(s));
}

/* -- setup ---------------------------------------------------------------- */

void sync_set_rank(sync_t* s, uint32_t rank, uint32_t daemons) {
    s->poller.rank = rank;
    s->poller.daemons = daemons;
}

uint32_t sync_age_ms(int64_t confirmed_ms, int64_t now_ms) {
    return confirmed_ms == NEVER || now_ms - confirmed_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)(now_ms - confirmed_ms);
}

bool sync_is_ready(const sync_t* s) {
    return s->active_catalog && s->list_confirmed_ms != NEVER;
}

int64_t sync_revision(const sync_t* s) {
    return s->active_catalog ? s->active_catalog->revision : 0;
}

const cw_servers_t* sync_servers(const sync_t* s) {
    return s->list_confirmed_ms == NEVER ? NULL : &s->list;
}

sync_stats_t sync_stats(const sync_t* s) {
    sync_stats_t stats = s->stats;
    stats.revision = sync_revision(s);
    stats.servers_age_ms = s->list_confirmed_ms == NEVER ? -1 : clock_ms() - s->list_confirmed_ms;
    stats.is_source_unavailable = s->is_unavailable;
    return stats;
}

void sync_tick(sync_t* s, int64_t now_ms) {
    sync_run_due_pulls(s, now_ms);
    bool is_list_offered =
        s->list_confirmed_ms == NEVER && sync_is_offered_by_peer(s, &s->peer_servers, &s->servers_pull, now_ms);
    bool is_catalog_offered =
        !s->active_catalog && sync_is_offered_by_peer(s, &s->peer_catalog, &s->catalog_pull, now_ms);
    if (!s->servers.call && now_ms >= s->servers.not_before_ms && !is_list_offered &&
        cw_poll_is_due(&s->poller, s->list_confirmed_ms, now_ms)) {
        sync_poll_servers(s, now_ms);
    }
    if (!s->catalog.call && now_ms >= s->catalog.not_before_ms && !is_catalog_offered &&
        cw_poll_is_due(&s->poller, s->catalog_confirmed_ms, now_ms)) {
        sync_poll_catalog(s);
    }
}

static void init_fetch(sync_t* s, fetch_t* f, void (*on_response)(sync_t*, unsigned, const char*, size_t),
                       void (*on_failure)(sync_t*, const char*)) {
    *f = (fetch_t){.sync = s, .client = s->client, .on_response = on_response, .on_failure = on_failure};
}

sync_t* sync_setup(const sync_desc_t* desc, cw_error_t* err) {
    sync_t* s = calloc(1, sizeof(*s));
    if (!s) {
        abort();
    }
    s->desc = *desc;
    s->poller = (cw_poll_t){.poll_age_ms = desc->poll_age_ms,
                            .last_rank_poll_age_ms = desc->last_rank_poll_age_ms,
                            .daemons = 1,
                            .started_ms = clock_ms(),
                            .is_first_start = desc->is_first_start,
                            .seed = desc->seed};
    s->list_confirmed_ms = s->catalog_confirmed_ms = s->incoming_started_ms = s->closed_read_ms = NEVER;
    s->share_httpd =
        cw_httpd_setup(&(cw_httpd_desc_t){.loop = desc->loop,
                                          .address = desc->share,
                                          .max_connections = desc->share_connections ? desc->share_connections : 64,
                                          .idle_timeout_s = 10,
                                          .on_request = sync_on_share_request,
                                          .user_data = s},
                       err);
    if (!s->share_httpd) {
        free(s);
        return NULL;
    }
    s->client = cw_client_setup(desc->loop, 8);
    init_fetch(s, &s->catalog, sync_on_catalog_response, sync_on_catalog_failure);
    init_fetch(s, &s->servers, sync_on_servers_response, sync_on_servers_failure);
    init_fetch(s, &s->history, sync_on_history_response, sync_on_history_failure);
    s->catalog.is_source = s->servers.is_source = s->history.is_source = true;
    init_fetch(s, &s->peer_catalog, sync_on_peer_catalog_response, sync_on_peer_catalog_failure);
    init_fetch(s, &s->peer_servers, sync_on_peer_servers_response, sync_on_peer_servers_failure);
    return s;
}

void sync_shutdown(sync_t* s) {
    fetch_t* const fetches[] = {&s->catalog, &s->servers, &s->history, &s->peer_catalog, &s->peer_servers};
    for (size_t i = 0; i < sizeof(fetches) / sizeof(fetches[0]); i++) {
        sync_cancel_fetch(fetches[i]);
    }
    cw_client_shutdown(s->client);
    cw_httpd_shutdown(s->share_httpd);
    cw_servers_free(&s->list);
    cw_changes_free(&s->changes);
    cw_servers_free(&s->incoming);
    cw_servers_free(&s->retained.entries);
    cw_catalog_release(s->active_catalog);
    free(s->active_text);
    free(s);
}
