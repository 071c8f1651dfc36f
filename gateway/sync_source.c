/* The source: the configuration, the list of servers by pages or changes, the halls that are closed, and its lives. */
#include <stdio.h>
#include <stdlib.h>

#include "sync_parts.h"

#define WHOLE_AFTER 20 /* readings of changes; then the whole list is read again, whatever they said */
/* A list is read on from the page at which a call failed, unless its first page is older. */
#define PAGES_KEPT_MS 3000
#define STATUS_GONE 410 /* the source no longer knows the changes since then */
/* After the source came back from an older copy: a hall that was known to be closed stays closed for so long, until the
   operator has written again what was lost, which takes him up to 5 s. */
#define RESTORED_MS 6000
#define LIFE_LINE_MS 10000 /* at most one line in so long on lives that can't be */

/* After a failed call to the source. */
static void back_off(fetch_t* f) {
    f->next_ms = clock_ms() + cw_reader_pause_ms(&f->sync->reader, ++f->failures, sync_draw(f->sync));
}

static void source_failed(sync_t* s, fetch_t* f, const char* why) {
    s->stats.source_failures++;
    back_off(f);
    if (!s->lost) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_LOST, "peer=%s reason=\"%s\" revision=%lld servers_age_ms=%lld",
               s->desc.address, why, (long long)sync_revision(s), (long long)sync_stats(s).servers_age_ms);
        s->lost = true;
    }
}

static void source_works(sync_t* s) {
    if (s->lost) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_BACK, "peer=%s", s->desc.address);
        s->lost = false;
    }
}

/* -- the source: configuration -------------------------------------------- */

void sync_on_catalog_failure(sync_t* s, const char* why) {
    source_failed(s, &s->catalog, why);
}

void sync_on_catalog_answer(sync_t* s, unsigned status, const char* body, size_t size) {
    source_news_t news = {0};
    cw_error_t err = {0};
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        source_failed(s, &s->catalog, why);
        return;
    }
    if (s->desc.source->read_catalog(body, size, s->mark, &news, &err) != CW_OK) {
        sync_refuse_answer(s, s->desc.address, &err);
        free(news.catalog);
        back_off(&s->catalog);
        return;
    }
    source_works(s);
    sync_fetch_ok(&s->catalog);
    s->mark = news.mark;
    if (news.catalog) {
        sync_adopt_catalog(s, news.catalog, s->desc.address);
    }
    s->catalog_ms = clock_ms();
}

void sync_read_catalog(sync_t* s) {
    char path[256];
    s->stats.source_calls++;
    s->desc.source->catalog_path(path, sizeof(path), s->mark);
    sync_fetch(&s->catalog, s->desc.address, path, CALL_MS);
}

/* -- the source: servers -------------------------------------------------- */

void sync_drop_pages(sync_t* s) {
    cw_servers_free(&s->pages);
    s->page_after[0] = 0;
    s->page_count = 0;
    s->pages_ms = NEVER;
    s->by_changes = s->for_closed = false;
}

/* After a failed call. A source that is crowded by a fleet that starts anew would else be asked for the same pages
   again and again, and nobody would come to the end of a long list. */
static void keep_pages(sync_t* s) {
    if (s->by_changes || !s->page_after[0]) {
        sync_drop_pages(s);
    }
}

static void read_page(sync_t* s) {
    char path[512];
    s->stats.source_calls++;
    s->desc.source->servers_path(path, sizeof(path), s->page_after);
    sync_fetch(&s->servers, s->desc.address, path, CALL_MS);
}

static void read_changes(sync_t* s) {
    char path[512];
    s->stats.source_calls++;
    s->by_changes = true;
    s->changes_read++;
    s->pages_ms = clock_ms();
    s->changes_from = s->list.at;
    cw_servers_copy(&s->pages, &s->list); /* the list in force may be another one when the answer comes */
    s->desc.source->changes_path(path, sizeof(path), s->list.at);
    sync_fetch(&s->servers, s->desc.address, path, CALL_MS);
}

void sync_read_whole(sync_t* s) {
    sync_drop_pages(s);
    s->pages_ms = clock_ms();
    read_page(s);
}

/* What changed costs one call, the whole list one for each page. The list may be a peer's, which vouches for it. */
void sync_read_servers(sync_t* s, int64_t now_ms) {
    bool knows = s->desc.source->changes_path && s->list_ms != NEVER && s->list.at && s->whole_pages != 1;
    if (s->pages_ms != NEVER && now_ms - s->pages_ms < PAGES_KEPT_MS) {
        read_page(s);
        return;
    }
    if (knows && s->whole_known && s->changes_read < WHOLE_AFTER) {
        sync_drop_pages(s);
        read_changes(s);
    } else {
        sync_read_whole(s);
    }
}

/* The source is back from an older copy. What is known stays in use; no number of the life before may be asked by or
   compared any more, so all is read anew, by whoever reads at the usual pace: the others hear it from peers. */
static void begin_life(sync_t* s, int64_t before) {
    cw_log(s->desc.log, CW_EVENT_SOURCE_RESTORED, "peer=%s life=%lld was=%lld revision=%lld servers=%u closed=%u",
           s->desc.address, (long long)s->life.number, (long long)before, (long long)sync_revision(s), s->list.count,
           s->list.closed.count);
    s->restored = true;
    s->mark = 0;
    s->whole_known = false;
    s->closed_ms = NEVER;
    s->closed_before = s->list.closed;
    s->closed_until_ms = clock_ms() + RESTORED_MS;
    s->list.closed.at = 0;
    sync_fetch_cancel(&s->servers);
    sync_drop_pages(s);
}

cw_life_verdict_t sync_hear_life(sync_t* s, const char* life) {
    int64_t before = s->life.number;
    cw_life_verdict_t verdict = cw_life_hear(&s->life, life);
    int64_t now_ms = clock_ms();
    bool odd = verdict == CW_LIFE_OLDER || verdict == CW_LIFE_MALFORMED;
    if (verdict == CW_LIFE_NEWER) {
        begin_life(s, before);
    } else if (odd && (!s->life_told_ms || now_ms - s->life_told_ms >= LIFE_LINE_MS)) {
        cw_log(s->desc.log, CW_EVENT_SOURCE_LIFE_ODD, "peer=%s life=\"%s\" verdict=%s known=%lld", s->desc.address,
               life, verdict == CW_LIFE_OLDER ? "older" : "malformed", (long long)s->life.number);
        s->life_told_ms = now_ms;
    }
    return verdict;
}

static void adopt_pages(sync_t* s) {
    sync_fetch_ok(&s->servers);
    sync_adopt_servers(s, &s->pages, s->pages_ms);
    sync_drop_pages(s);
}

/* The last call of a reading, where the halls that are known to be closed have grown too old. */
static bool read_closed(sync_t* s) {
    bool due = s->closed_ms == NEVER || clock_ms() - s->closed_ms >= (int64_t)s->desc.closed_ms;
    if (!s->desc.closed_ms || !s->desc.source->closed_path || !due) {
        return false;
    }
    char path[256];
    s->stats.source_calls++;
    s->for_closed = true;
    s->desc.source->closed_path(path, sizeof(path));
    sync_fetch(&s->servers, s->desc.address, path, CALL_MS);
    return true;
}

/* The servers are taken over without the closed halls, which stay as they were known. */
static void closed_failed(sync_t* s, const char* why) {
    sync_adopt_servers(s, &s->pages, s->pages_ms);
    sync_drop_pages(s);
    source_failed(s, &s->servers, why);
}

static void on_closed_answer(sync_t* s, const char* body, size_t size) {
    cw_closed_t closed = {0};
    cw_error_t err = {0};
    if (s->desc.source->read_closed(body, size, &closed, &err) != CW_OK) {
        sync_refuse_answer(s, s->desc.address, &err);
        closed_failed(s, err.message);
        return;
    }
    if (err.status != CW_OK) {
        sync_refuse_answer(s, s->desc.address, &err); /* some of it */
    }
    s->closed_ms = clock_ms();
    s->pages.closed = closed;
    adopt_pages(s);
}

void sync_on_servers_failure(sync_t* s, const char* why) {
    if (s->for_closed) {
        closed_failed(s, why);
        return;
    }
    keep_pages(s);
    source_failed(s, &s->servers, why);
}

void sync_on_servers_answer(sync_t* s, unsigned status, const char* body, size_t size) {
    source_news_t news = {0};
    cw_error_t err = {0};
    if (s->by_changes && status == STATUS_GONE) {
        sync_read_whole(s);
        return;
    }
    if (status != 200) {
        char why[32];
        snprintf(why, sizeof(why), "status %u", status);
        sync_on_servers_failure(s, why);
        return;
    }
    if (s->for_closed) {
        on_closed_answer(s, body, size);
        return;
    }
    cw_status_t read = s->by_changes ? s->desc.source->read_changes(body, size, &s->pages, &err)
                                     : s->desc.source->read_servers(body, size, &s->pages, &news, &err);
    if (read != CW_OK) {
        sync_refuse_answer(s, s->desc.address, &err);
        sync_drop_pages(s);
        s->whole_known = false;
        back_off(&s->servers);
        return;
    }
    source_works(s);
    if (s->by_changes && s->pages.at == s->changes_from) {
        sync_read_whole(s); /* not a heartbeat was told: changes may have been held back too */
        return;
    }
    s->page_count++;
    if (news.more && news.after[0]) {
        cw_copy(s->page_after, sizeof(s->page_after), news.after);
        read_page(s);
        return;
    }
    if (!s->by_changes) {
        s->whole_known = true;
        s->changes_read = 0;
        s->whole_pages = s->page_count;
    }
    if (!read_closed(s)) {
        adopt_pages(s);
    }
}
