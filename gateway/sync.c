#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sync_parts.h"

#define BODY_MAX (16U << 20)  /* longest answer that is read */
#define OUTAGE_MS 2000        /* a list that nobody confirmed for so long: entries may have lapsed while it was away */
#define REFUSED_LINE_MS 10000 /* at most one line in so long on entries that name no server */

/* -- one call ------------------------------------------------------------- */

static bool on_data(void* user, const char* data, size_t size) {
    fetch_t* f = user;
    if (f->body.size + size <= BODY_MAX) {
        cw_buffer_add(&f->body, data, size);
    }
    return true;
}

static void on_head(void* user, unsigned status, const char* content_type) {
    fetch_t* f = user;
    (void)status;
    (void)content_type;
    const char* field = f->sync->desc.source->life_field;
    const char* life = f->of_source && field ? cw_call_header(f->call, field) : NULL;
    cw_copy(f->life, sizeof(f->life), life ? life : "");
}

static void on_done(void* user, const cw_call_result_t* result) {
    fetch_t* f = user;
    cw_buffer_t body = f->body;
    f->body = (cw_buffer_t){0};
    f->call = NULL;
    cw_life_verdict_t life = result->whole && f->life[0] ? sync_hear_life(f->sync, f->life) : CW_LIFE_SAME;
    if (life == CW_LIFE_OLDER) {
        f->on_failure(f->sync, "an answer of an earlier life");
    } else if (life == CW_LIFE_NEWER && f == &f->sync->servers) {
        sync_read_whole(f->sync); /* what was asked by a number of the life before is of no use */
    } else if (result->whole) {
        f->on_answer(f->sync, result->status, cw_buffer_text(&body), body.size);
    } else {
        f->on_failure(f->sync, result->message);
    }
    cw_buffer_free(&body);
}

void sync_fetch(fetch_t* f, const char* address, const char* path, uint32_t timeout_ms) {
    char url[512];
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    cw_copy(f->peer, sizeof(f->peer), address);
    f->life[0] = 0;
    f->call = cw_client_call(f->client, &(cw_call_desc_t){.url = url,
                                                          .connect_ms = CALL_MS,
                                                          .timeout_ms = timeout_ms,
                                                          .on_head = on_head,
                                                          .on_data = on_data,
                                                          .on_done = on_done,
                                                          .user_data = f});
}

void sync_fetch_cancel(fetch_t* f) {
    if (f->call) {
        cw_call_cancel(f->call);
        f->call = NULL;
        cw_buffer_free(&f->body);
    }
}

uint64_t sync_draw(sync_t* s) {
    return cw_mix(s->desc.seed, ++s->draws);
}

void sync_fetch_ok(fetch_t* f) {
    f->failures = 0;
    f->next_ms = 0;
}

/* -- taking over ---------------------------------------------------------- */

/* Puts a native document in force unless it is older; takes over the text. */
void sync_adopt_catalog(sync_t* s, char* text, const char* from) {
    cw_error_t err = {0};
    cw_catalog_t* catalog = cw_catalog_read(text, strlen(text), &err);
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
    cw_catalog_release(s->in_force);
    free(s->text);
    s->in_force = catalog;
    s->text = text;
    cw_pull_cancel(&s->catalog_pull);
    cw_log(s->desc.log, CW_EVENT_CONFIG_CHANGED, "revision=%lld routes=%u pools=%u workspaces=%u from=%s",
           (long long)catalog->revision, catalog->route_count, catalog->pool_count, catalog->workspace_count, from);
    s->desc.on_catalog(s->desc.user_data, catalog);
}

/* Tells of entries that name no server; what comes sooner than the last line is counted until the next. */
static void tell_refused(sync_t* s, const cw_refused_t* refused) {
    int64_t now_ms = clock_ms();
    s->stats.entries_refused += refused->count;
    s->refused_untold += refused->count;
    if (!refused->count || (s->refused_told_ms && now_ms - s->refused_told_ms < REFUSED_LINE_MS)) {
        return;
    }
    cw_log(s->desc.log, CW_EVENT_ENTRY_REFUSED, "key=%s field=%s reason=\"%s\" refused=%llu", refused->key,
           refused->fault.field, refused->fault.reason, (unsigned long long)s->refused_untold);
    s->refused_untold = 0;
    s->refused_told_ms = now_ms;
}

/* The copy lacks what was closed after it was made: not opened before that can have been written again. */
static void keep_closed(sync_t* s, cw_closed_t* closed) {
    for (uint32_t i = 0; i < s->closed_before.count && clock_ms() < s->closed_until_ms; i++) {
        cw_closed_add(closed, s->closed_before.halls[i]); /* full: as many halls are closed as there can be */
    }
}

/* Puts a list in force that was true at the time; takes it over. */
void sync_adopt_servers(sync_t* s, cw_servers_t* list, int64_t true_ms) {
    if (true_ms < s->list_ms) {
        cw_servers_free(list);
        return;
    }
    bool first = s->list_ms == NEVER;
    bool after_outage = !first && (true_ms - s->list_ms >= OUTAGE_MS || s->restored);
    s->restored = false;
    if (list->closed.at < s->list.closed.at) {
        list->closed = s->list.closed; /* known from a later reading */
    }
    keep_closed(s, &list->closed);
    cw_servers_drop_unstarted(list);
    tell_refused(s, &list->refused);
    cw_servers_sort(list);
    bool same = !first && cw_servers_equal(&s->list, list);
    cw_changes_note(&s->changes, &s->list, list);
    cw_servers_free(&s->list);
    s->list = *list;
    *list = (cw_servers_t){0};
    s->list_id = cw_servers_id(&s->list);
    s->list_ms = true_ms;
    cw_pull_cancel(&s->servers_pull);
    if (!same) {
        s->desc.on_servers(s->desc.user_data, &s->list, after_outage);
    }
}

void sync_refuse_answer(sync_t* s, const char* from, const cw_error_t* err) {
    cw_log(s->desc.log, CW_EVENT_CONFIG_INVALID, "peer=%s step=%s reason=\"%s\" revision=%lld", from, err->step,
           err->message, (long long)sync_revision(s));
}

/* -- setup ---------------------------------------------------------------- */

void sync_set_rank(sync_t* s, uint32_t rank, uint32_t daemons) {
    s->reader.rank = rank;
    s->reader.daemons = daemons;
}

uint32_t sync_age(int64_t true_ms, int64_t now_ms) {
    return true_ms == NEVER || now_ms - true_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)(now_ms - true_ms);
}

bool sync_ready(const sync_t* s) {
    return s->in_force && s->list_ms != NEVER;
}

int64_t sync_revision(const sync_t* s) {
    return s->in_force ? s->in_force->revision : 0;
}

const cw_servers_t* sync_servers(const sync_t* s) {
    return s->list_ms == NEVER ? NULL : &s->list;
}

sync_stats_t sync_stats(const sync_t* s) {
    sync_stats_t stats = s->stats;
    stats.revision = sync_revision(s);
    stats.servers_age_ms = s->list_ms == NEVER ? -1 : clock_ms() - s->list_ms;
    stats.source_lost = s->lost;
    return stats;
}

void sync_tick(sync_t* s, int64_t now_ms) {
    sync_pull_due(s, now_ms);
    bool list_offered = s->list_ms == NEVER && sync_is_offered(s, &s->peer_servers, &s->servers_pull, now_ms);
    bool catalog_offered = !s->in_force && sync_is_offered(s, &s->peer_catalog, &s->catalog_pull, now_ms);
    if (!s->servers.call && now_ms >= s->servers.next_ms && !list_offered &&
        cw_reader_due(&s->reader, s->list_ms, now_ms)) {
        sync_read_servers(s, now_ms);
    }
    if (!s->catalog.call && now_ms >= s->catalog.next_ms && !catalog_offered &&
        cw_reader_due(&s->reader, s->catalog_ms, now_ms)) {
        sync_read_catalog(s);
    }
}

static void fetch_init(sync_t* s, fetch_t* f, void (*on_answer)(sync_t*, unsigned, const char*, size_t),
                       void (*on_failure)(sync_t*, const char*)) {
    *f = (fetch_t){.sync = s, .client = s->client, .on_answer = on_answer, .on_failure = on_failure};
}

sync_t* sync_setup(const sync_desc_t* desc, cw_error_t* err) {
    sync_t* s = calloc(1, sizeof(*s));
    if (!s) {
        abort();
    }
    s->desc = *desc;
    s->reader = (cw_reader_t){.read_ms = desc->read_ms,
                              .late_ms = desc->late_ms,
                              .daemons = 1,
                              .started_ms = clock_ms(),
                              .nobody_calls = desc->nobody_calls,
                              .seed = desc->seed};
    s->list_ms = s->catalog_ms = s->pages_ms = s->closed_ms = NEVER;
    s->share =
        cw_httpd_setup(&(cw_httpd_desc_t){.loop = desc->loop,
                                          .address = desc->share,
                                          .max_connections = desc->share_connections ? desc->share_connections : 64,
                                          .idle_s = 10,
                                          .on_request = sync_on_share_request,
                                          .user_data = s},
                       err);
    if (!s->share) {
        free(s);
        return NULL;
    }
    s->client = cw_client_setup(desc->loop, 8);
    fetch_init(s, &s->catalog, sync_on_catalog_answer, sync_on_catalog_failure);
    fetch_init(s, &s->servers, sync_on_servers_answer, sync_on_servers_failure);
    s->catalog.of_source = s->servers.of_source = true;
    fetch_init(s, &s->peer_catalog, sync_on_peer_catalog, sync_on_peer_catalog_failure);
    fetch_init(s, &s->peer_servers, sync_on_peer_servers, sync_on_peer_servers_failure);
    return s;
}

void sync_shutdown(sync_t* s) {
    fetch_t* const fetches[] = {&s->catalog, &s->servers, &s->peer_catalog, &s->peer_servers};
    for (size_t i = 0; i < sizeof(fetches) / sizeof(fetches[0]); i++) {
        sync_fetch_cancel(fetches[i]);
    }
    cw_client_shutdown(s->client);
    cw_httpd_shutdown(s->share);
    cw_servers_free(&s->list);
    cw_changes_free(&s->changes);
    cw_servers_free(&s->pages);
    cw_catalog_release(s->in_force);
    free(s->text);
    free(s);
}
