/* Polls of the source: the configuration, the list of servers by pages or changes, the closed halls, and the epoch. */
#include <stdio.h>
#include <stdlib.h>

#include "sync_internal.h"

#define DELTA_POLLS_MAX 20 /* after this many polls for changes the full list is read again, whatever they returned */
/* After a failed call a list is resumed at the page that failed, unless the first page is older than this. */
#define PARTIAL_LIST_MAX_AGE_MS 3000
#define STATUS_GONE 410 /* the source no longer has the changes since that revision */
/* After the source was restored from an older copy, the halls that were closed before stay closed for this time: the
   operator needs up to 5 s to write again what was lost. */
#define RESTORED_CLOSED_HOLD_MS 6000
#define EPOCH_LOG_INTERVAL_MS 10000 /* least time between two log lines on invalid epochs */

/* Sets the retry backoff after a failed call to the source. */
static void schedule_retry(fetch_t* f) {
    f->not_before_ms = clock_ms() + cw_poll_backoff_ms(&f->sync->poller, ++f->failures, sync_random(f->sync));
}

static void on_source_failure(sync_t* s, fetch_t* f, const char* why) {
    s->stats.source_failures++;
    schedule_retry(f);
    if (!s->is_unavailable) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_LOST, "peer=%s reason=\"%s\" revision=%lld servers_age_ms=%lld",
               s->desc.address, why, (long long)sync_revision(s), (long long)sync_stats(s).servers_age_ms);
        s->is_unavailable = true;
    }
}

static void on_source_success(sync_t* s) {
    if (s->is_unavailable) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_BACK, "peer=%s", s->desc.address);
        s->is_unavailable = false;
    }
}

/* -- the source: configuration -------------------------------------------- */

void sync_on_catalog_failure(sync_t* s, const char* why) {
    on_source_failure(s, &s->catalog, why);
}

void sync_on_catalog_response(sync_t* s, unsigned status, const char* body, size_t size) {
    source_update_t update = {0};
    cw_error_t err = {0};
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        on_source_failure(s, &s->catalog, why);
        return;
    }
    if (s->desc.source->read_catalog(body, size, s->catalog_version, &update, &err) != CW_OK) {
        sync_log_invalid_response(s, s->desc.address, &err);
        free(update.catalog);
        schedule_retry(&s->catalog);
        return;
    }
    on_source_success(s);
    sync_reset_backoff(&s->catalog);
    s->catalog_version = update.version;
    if (update.catalog) {
        sync_apply_catalog(s, update.catalog, s->desc.address);
    }
    s->catalog_confirmed_ms = clock_ms();
}

void sync_poll_catalog(sync_t* s) {
    char path[256];
    s->stats.source_calls++;
    s->desc.source->catalog_path(path, sizeof(path), s->catalog_version);
    sync_begin_fetch(&s->catalog, s->desc.address, path, CALL_TIMEOUT_MS);
}

/* -- the source: servers -------------------------------------------------- */

void sync_discard_incoming(sync_t* s) {
    cw_servers_free(&s->incoming);
    s->page_after[0] = 0;
    s->page_count = 0;
    s->incoming_started_ms = NEVER;
    s->asks_for_changes = s->asks_for_closed = false;
}

/* After a failed call: keeps the pages that were read, so that the list is resumed. A source that is overloaded by a
   fleet that starts would otherwise be asked for the same pages again and again, and nobody would complete a long
   list. */
static void keep_complete_pages(sync_t* s) {
    if (s->asks_for_changes || !s->page_after[0]) {
        sync_discard_incoming(s);
    }
}

static void request_page(sync_t* s) {
    char path[SOURCE_PATH_MAX];
    s->stats.source_calls++;
    s->desc.source->servers_path(path, sizeof(path), s->page_after);
    sync_begin_fetch(&s->servers, s->desc.address, path, CALL_TIMEOUT_MS);
}

static void request_changes(sync_t* s) {
    char path[512];
    s->stats.source_calls++;
    s->asks_for_changes = true;
    s->delta_poll_count++;
    s->incoming_started_ms = clock_ms();
    s->changes_from = s->list.at;
    cw_servers_copy(&s->incoming, &s->list); /* the active list may be another one when the response comes */
    s->desc.source->changes_path(path, sizeof(path), s->list.at);
    sync_begin_fetch(&s->servers, s->desc.address, path, CALL_TIMEOUT_MS);
}

void sync_poll_full_list(sync_t* s) {
    sync_discard_incoming(s);
    s->incoming_started_ms = clock_ms();
    request_page(s);
}

/* Changes cost one call, the full list one call for each page. The list to which the changes apply may also be a peer's
   full list. */
void sync_poll_servers(sync_t* s, int64_t now_ms) {
    bool can_poll_changes =
        s->desc.source->changes_path && s->list_confirmed_ms != NEVER && s->list.at && s->full_page_count != 1;
    if (s->incoming_started_ms != NEVER && now_ms - s->incoming_started_ms < PARTIAL_LIST_MAX_AGE_MS) {
        request_page(s);
        return;
    }
    if (can_poll_changes && s->has_full_list && s->delta_poll_count < DELTA_POLLS_MAX) {
        sync_discard_incoming(s);
        request_changes(s);
    } else {
        sync_poll_full_list(s);
    }
}

/* The source was restored from an older copy. The documents in use stay active. Revisions of the previous epoch must be
   neither compared nor sent in requests any more, so this daemon reads everything again at the usual poll interval; the
   other daemons get it from peers. */
static void begin_epoch(sync_t* s, int64_t previous) {
    cw_log(s->desc.log, CW_EVENT_SOURCE_RESTORED, "peer=%s life=%lld was=%lld revision=%lld servers=%u closed=%u",
           s->desc.address, (long long)s->epoch.number, (long long)previous, (long long)sync_revision(s), s->list.count,
           s->list.closed.count);
    s->awaits_epoch_list = true;
    s->catalog_version = 0;
    s->has_full_list = false;
    s->closed_read_ms = NEVER;
    s->previous_closed = s->list.closed;
    s->previous_closed_until_ms = clock_ms() + RESTORED_CLOSED_HOLD_MS;
    s->list.closed.at = 0;
    sync_cancel_fetch(&s->servers);
    sync_discard_incoming(s);
}

cw_epoch_verdict_t sync_check_epoch(sync_t* s, const char* epoch) {
    int64_t previous = s->epoch.number;
    cw_epoch_verdict_t verdict = cw_epoch_observe(&s->epoch, epoch);
    int64_t now_ms = clock_ms();
    bool is_invalid = verdict == CW_EPOCH_OLDER || verdict == CW_EPOCH_MALFORMED;
    if (verdict == CW_EPOCH_NEWER) {
        begin_epoch(s, previous);
    } else if (is_invalid && (!s->epoch_logged_ms || now_ms - s->epoch_logged_ms >= EPOCH_LOG_INTERVAL_MS)) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_LIFE_ODD, "peer=%s life=\"%s\" verdict=%s known=%lld", s->desc.address,
               epoch, verdict == CW_EPOCH_OLDER ? "older" : "malformed", (long long)s->epoch.number);
        s->epoch_logged_ms = now_ms;
    }
    return verdict;
}

static void apply_incoming(sync_t* s) {
    sync_reset_backoff(&s->servers);
    sync_apply_servers(s, &s->incoming, s->incoming_started_ms);
    sync_discard_incoming(s);
}

/* Requests the closed halls if the known ones are too old: the last call of a poll. Returns whether it did. */
static bool request_closed(sync_t* s) {
    bool is_due = s->closed_read_ms == NEVER || clock_ms() - s->closed_read_ms >= (int64_t)s->desc.closed_poll_age_ms;
    if (!s->desc.closed_poll_age_ms || !s->desc.source->closed_path || !is_due) {
        return false;
    }
    char path[256];
    s->stats.source_calls++;
    s->asks_for_closed = true;
    s->desc.source->closed_path(path, sizeof(path));
    sync_begin_fetch(&s->servers, s->desc.address, path, CALL_TIMEOUT_MS);
    return true;
}

/* The servers are applied without the closed halls, which stay as they are. */
static void on_closed_failure(sync_t* s, const char* why) {
    sync_apply_servers(s, &s->incoming, s->incoming_started_ms);
    sync_discard_incoming(s);
    on_source_failure(s, &s->servers, why);
}

static void on_closed_response(sync_t* s, const char* body, size_t size) {
    cw_closed_halls_t closed = {0};
    cw_error_t err = {0};
    if (s->desc.source->read_closed(body, size, &closed, &err) != CW_OK) {
        sync_log_invalid_response(s, s->desc.address, &err);
        on_closed_failure(s, err.message);
        return;
    }
    if (err.status != CW_OK) {
        sync_log_invalid_response(s, s->desc.address, &err); /* some halls were left out */
    }
    s->closed_read_ms = clock_ms();
    s->incoming.closed = closed;
    apply_incoming(s);
}

void sync_on_servers_failure(sync_t* s, const char* why) {
    if (s->asks_for_closed) {
        on_closed_failure(s, why);
        return;
    }
    keep_complete_pages(s);
    on_source_failure(s, &s->servers, why);
}

void sync_on_servers_response(sync_t* s, unsigned status, const char* body, size_t size) {
    source_update_t update = {0};
    cw_error_t err = {0};
    if (s->asks_for_changes && status == STATUS_GONE) {
        sync_poll_full_list(s);
        return;
    }
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        sync_on_servers_failure(s, why);
        return;
    }
    if (s->asks_for_closed) {
        on_closed_response(s, body, size);
        return;
    }
    cw_status_t read = s->asks_for_changes ? s->desc.source->read_changes(body, size, &s->incoming, &err)
                                           : s->desc.source->read_servers(body, size, &s->incoming, &update, &err);
    if (read != CW_OK) {
        sync_log_invalid_response(s, s->desc.address, &err);
        sync_discard_incoming(s);
        s->has_full_list = false;
        schedule_retry(&s->servers);
        return;
    }
    on_source_success(s);
    if (s->asks_for_changes && s->incoming.at == s->changes_from) {
        sync_poll_full_list(s); /* even heartbeats are missing: other changes may be missing too */
        return;
    }
    s->page_count++;
    if (update.has_more && update.after[0]) {
        cw_copy(s->page_after, sizeof(s->page_after), update.after);
        request_page(s);
        return;
    }
    if (!s->asks_for_changes) {
        s->has_full_list = true;
        s->delta_poll_count = 0;
        s->full_page_count = s->page_count;
    }
    if (!request_closed(s)) {
        apply_incoming(s);
    }
}
