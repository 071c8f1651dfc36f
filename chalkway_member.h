#ifndef CHALKWAY_MEMBER_H
#define CHALKWAY_MEMBER_H
/*
    chalkway_member.h -- membership by sparse probing

    WHAT IT IS
        Each host probes one other host a period, asks a few others to probe
        it when no answer comes, then suspects it and, unless the suspicion
        is refuted, takes it as dead. News travels on the probes, each item a
        bounded number of times, so the cost for a host does not grow with
        their number. Fresh news is also passed to a few hosts at once. Each
        message carries a hash of the sender's view. A host that heard of
        another view sends some host a summary of its own one
        (chalkway_summary.h), and is told what differs. A host refutes news about itself by a higher
        incarnation. Leaving is a flag of its own, set by the host itself.
        Probes also carry the sender's configuration revision and its room.

        A host that was paused drops its pending judgements when it wakes; a
        host whose own probes fail often waits longer (local health).

    HOW TO USE IT
            cw_members_t* m = cw_members_setup(&(cw_members_desc_t){.self = info, .seed = random});
            cw_members_contact(m, "10.0.0.2:7400");
            cw_members_tick(m, now_ms);                    // every 50 ms or so
            cw_members_receive(m, now_ms, from, &message); // a datagram came
            while (cw_members_next(m, &out)) { send(out.to, &out.message); }

    WHAT IT DOES NOT DO
        No sockets, no encoding (see chalkway_wire.h), no agreement: two
        hosts may see different members for a while.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_map.h"
#include "chalkway_summary.h"

#define CW_MEMBER_ADDRESS_MAX 48
#define CW_MEMBER_HALL_MAX 32
#define CW_GOSSIP_NEWS 6 /* items of news in one message */

typedef enum cw_member_state_t {
    CW_MEMBER_ALIVE = 0,
    CW_MEMBER_SUSPECT,
    CW_MEMBER_DEAD,
    CW_MEMBER_STATE_COUNT
} cw_member_state_t;

/* What is told of a host. Higher incarnation wins, then the worse state. */
typedef struct cw_member_info_t {
    uint64_t id; /* of the name */
    uint64_t incarnation;
    cw_member_state_t state;
    bool leaving;
    uint32_t link_mbps; /* of its network, 0: not said */
    char name[CW_NAME_MAX];
    char hall[CW_MEMBER_HALL_MAX];
    char peer[CW_MEMBER_ADDRESS_MAX]; /* IP:PORT for daemons, TCP and UDP */
    char http[CW_MEMBER_ADDRESS_MAX]; /* IP:PORT for callers */
} cw_member_info_t;

typedef struct cw_member_t {
    cw_member_info_t info;
    int64_t since_ms; /* of the state */
    int64_t heard_ms; /* last message from it directly, 0: never */
    int64_t revision; /* its configuration revision when last heard */
    uint32_t room;    /* its free capacity, 0..100, when last heard */
    bool refused;     /* its machine answered that nobody listens: its process is gone, not cut off */
    uint32_t tell;    /* times its news is still to be passed on */
} cw_member_t;

typedef enum cw_gossip_kind_t {
    CW_GOSSIP_PING = 1,
    CW_GOSSIP_ACK,
    CW_GOSSIP_PING_REQ, /* please probe target for me */
    CW_GOSSIP_NEWS_ONLY /* no answer wanted */
} cw_gossip_kind_t;

typedef struct cw_gossip_t {
    cw_gossip_kind_t kind;
    uint32_t seq;
    bool join;            /* ping: tell me of others */
    uint64_t target;      /* ping-req: host to probe; ack: host that answers */
    int64_t revision;     /* the sender's */
    uint32_t room;        /* the sender's */
    uint64_t view;        /* hash of the members that the sender takes to be alive */
    cw_summary_t summary; /* ping: of these members; send me those that differ */
    cw_member_info_t from;
    uint32_t news_count;
    cw_member_info_t news[CW_GOSSIP_NEWS];
} cw_gossip_t;

typedef struct cw_gossip_out_t {
    char to[CW_MEMBER_ADDRESS_MAX];
    cw_gossip_t message;
} cw_gossip_out_t;

typedef struct cw_members_desc_t {
    cw_member_info_t self; /* id, name, hall, addresses; incarnation: milliseconds since 1970 at start */
    uint64_t seed;         /* for the order of probes */
    uint32_t max_members;  /* default 1024 */
    uint32_t max_contacts; /* default 512 */
    uint32_t period_ms;    /* between probes, default 1000 */
    uint32_t timeout_ms;   /* for a direct answer, default 300 */
    uint32_t indirect;     /* hosts asked to probe in one's place, default 3 */
    uint32_t suspect_ms;   /* suspicion to death, default 4000 */
    uint32_t forget_ms;    /* death to removal, default 3600000 */
    uint32_t retry_ms;     /* between probes of dead hosts and contacts, default 5000 */
    cw_allocator_t allocator;
} cw_members_desc_t;

typedef enum cw_members_filter_t {
    CW_MEMBERS_FOR_ROLES = 0, /* alive and not leaving: may take roles */
    CW_MEMBERS_ALL            /* all that are not dead */
} cw_members_filter_t;

typedef struct cw_members_t cw_members_t;

cw_members_t* cw_members_setup(const cw_members_desc_t* desc);
void cw_members_shutdown(cw_members_t* m);
/* An address where a host may be: from the settings or the platform's host list. Known ones are ignored. */
void cw_members_contact(cw_members_t* m, const char* address);
void cw_members_tick(cw_members_t* m, int64_t now_ms);
void cw_members_receive(cw_members_t* m, int64_t now_ms, const cw_gossip_t* message);
/* Next message to send; false when there is none. */
bool cw_members_next(cw_members_t* m, cw_gossip_out_t* out);
/* Tells the others that this host is leaving. */
void cw_members_leave(cw_members_t* m);
/* Something else says that the host may be dead (its connection broke): probe it at once. */
void cw_members_doubt(cw_members_t* m, int64_t now_ms, uint64_t id);
/* Its machine answers that nobody listens there: suspect it at once. A live host refutes it. */
void cw_members_suspect(cw_members_t* m, int64_t now_ms, uint64_t id);
/* What this host's probes say of itself. */
void cw_members_announce(cw_members_t* m, int64_t revision, uint32_t room);
/* Members known, this host first. */
uint32_t cw_members_count(const cw_members_t* m);
const cw_member_t* cw_members_at(const cw_members_t* m, uint32_t index);
const cw_member_t* cw_members_find(const cw_members_t* m, uint64_t id);
/* Ids of the hosts that the filter lets through, in out (room for max). Returns their number. */
uint32_t cw_members_live(const cw_members_t* m, cw_members_filter_t filter, uint64_t* out, uint32_t max);
/* Changes of any member's state or leaving flag so far. */
uint64_t cw_members_changes(const cw_members_t* m);
const char* cw_member_state_name(cw_member_state_t state);

#endif /* CHALKWAY_MEMBER_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_MEMBER_IMPL_INCLUDED
#define CHALKWAY_MEMBER_IMPL_INCLUDED

#include <assert.h>
#include <string.h>

#define _CW_MEMBERS_OUT 256   /* messages waiting to be sent */
#define _CW_MEMBERS_HELPED 32 /* probes made for others at once */
#define _CW_MEMBERS_HEALTH_MAX 8
#define _CW_MEMBERS_FORWARD_MS 200  /* between two times that fresh news is passed on at once */
#define _CW_MEMBERS_COMPARE_MS 2000 /* between two times that a host asks what differs */
#define _CW_MEMBERS_ANSWER_PARTS 4  /* one host gets such a part of what is left */
#define _CW_MEMBERS_ANSWERS 64      /* messages to hosts that ask what differs, or join, in: */
#define _CW_MEMBERS_ANSWERS_MS 100
#define _CW_MEMBERS_GROWN_MS 1000  /* a host that learned of a new one so lately learns of more */
#define _CW_MEMBERS_GROWING_MS 150 /* the same, while it learns of new hosts */
#define _CW_MEMBERS_ACCUSE_MS 500  /* between two pings of a suspect */
#define _CW_MEMBERS_TELL 1         /* news is told this many times the logarithm of the number of hosts */

/* A probe made for another host. */
typedef struct _cw_helped_t {
    uint32_t seq;        /* of our ping, 0: free */
    uint32_t origin_seq; /* of the asker's */
    char origin[CW_MEMBER_ADDRESS_MAX];
} _cw_helped_t;

typedef struct _cw_contact_t {
    char address[CW_MEMBER_ADDRESS_MAX];
} _cw_contact_t;

struct cw_members_t {
    cw_members_desc_t desc;
    cw_member_t* members; /* [0] is this host */
    uint32_t count;
    cw_map_t by_id;
    uint32_t* order; /* probe order over members */
    uint32_t order_pos, order_count;
    _cw_contact_t* contacts;
    uint32_t contact_count, contact_next;
    _cw_helped_t helped[_CW_MEMBERS_HELPED];
    uint32_t helped_next;
    uint64_t rng;
    uint32_t seq;
    uint32_t probe_seq;  /* pending probe, 0: none */
    uint64_t probe_id;   /* its target */
    int64_t probe_ms;    /* when it was sent */
    bool probe_indirect; /* others were asked */
    int64_t next_probe_ms, next_retry_ms, last_tick_ms;
    int64_t next_accuse_ms;
    bool differs;            /* another host's view was another one */
    int64_t grown_ms;        /* when a host became known that was not */
    int64_t next_compare_ms; /* it doesn't ask before */
    int64_t answers_ms;      /* since then: */
    uint32_t answers;        /* messages in which others were told what differs */
    int64_t next_forward_ms; /* fresh news is not passed on before */
    bool forward_due;
    uint64_t view; /* hash of the view, valid for view_changes */
    uint64_t view_changes;
    uint32_t health; /* 0 is good; timeouts grow with it */
    uint32_t news_next;
    int64_t revision;
    uint32_t room;
    uint64_t changes;
    cw_gossip_out_t* out;
    uint32_t out_head, out_count;
};

static cw_members_desc_t _cw_members_desc_defaults(const cw_members_desc_t* desc) {
    cw_members_desc_t d = *desc;
    d.seed = d.seed ? d.seed : 1;
    d.max_members = d.max_members ? d.max_members : 1024;
    d.max_contacts = d.max_contacts ? d.max_contacts : 512;
    d.period_ms = d.period_ms ? d.period_ms : 1000;
    d.timeout_ms = d.timeout_ms ? d.timeout_ms : 300;
    d.indirect = d.indirect ? d.indirect : 3;
    d.suspect_ms = d.suspect_ms ? d.suspect_ms : 4000;
    d.forget_ms = d.forget_ms ? d.forget_ms : 3600000;
    d.retry_ms = d.retry_ms ? d.retry_ms : 5000;
    return d;
}

const char* cw_member_state_name(cw_member_state_t state) {
    static const char* const names[CW_MEMBER_STATE_COUNT] = {"alive", "suspect", "dead"};
    return ((unsigned)state < CW_MEMBER_STATE_COUNT) ? names[state] : "?";
}

static uint64_t _cw_members_random(cw_members_t* m) {
    m->rng ^= m->rng << 13;
    m->rng ^= m->rng >> 7;
    m->rng ^= m->rng << 17;
    return m->rng;
}

/* How often an item of news is passed on. */
static uint32_t _cw_members_tell(const cw_members_t* m) {
    uint32_t log2 = 1;
    for (uint32_t n = m->count; n > 1; n /= 2) {
        log2++;
    }
    return _CW_MEMBERS_TELL * log2;
}

cw_members_t* cw_members_setup(const cw_members_desc_t* desc) {
    cw_members_desc_t d = _cw_members_desc_defaults(desc);
    assert(d.self.id);
    cw_members_t* m = cw_alloc(&d.allocator, 1, sizeof(*m));
    m->desc = d;
    m->members = cw_alloc(&d.allocator, d.max_members, sizeof(*m->members));
    m->order = cw_alloc(&d.allocator, d.max_members, sizeof(*m->order));
    m->contacts = cw_alloc(&d.allocator, d.max_contacts, sizeof(*m->contacts));
    m->out = cw_alloc(&d.allocator, _CW_MEMBERS_OUT, sizeof(*m->out));
    m->by_id = cw_map_setup(d.max_members, &d.allocator);
    m->rng = d.seed;
    m->members[0] = (cw_member_t){.info = d.self, .tell = _CW_MEMBERS_TELL};
    m->members[0].info.state = CW_MEMBER_ALIVE;
    m->count = 1;
    cw_map_put(&m->by_id, d.self.id, 0);
    return m;
}

void cw_members_shutdown(cw_members_t* m) {
    cw_allocator_t a = m->desc.allocator;
    cw_map_shutdown(&m->by_id);
    cw_free(&a, m->members);
    cw_free(&a, m->order);
    cw_free(&a, m->contacts);
    cw_free(&a, m->out);
    cw_free(&a, m);
}

uint32_t cw_members_count(const cw_members_t* m) {
    return m->count;
}

const cw_member_t* cw_members_at(const cw_members_t* m, uint32_t index) {
    assert(index < m->count);
    return &m->members[index];
}

const cw_member_t* cw_members_find(const cw_members_t* m, uint64_t id) {
    uint32_t i = cw_map_get(&m->by_id, id);
    return i == CW_MAP_NONE ? NULL : &m->members[i];
}

uint32_t cw_members_live(const cw_members_t* m, cw_members_filter_t filter, uint64_t* out, uint32_t max) {
    uint32_t n = 0;
    for (uint32_t i = 0; i < m->count && n < max; i++) {
        const cw_member_info_t* info = &m->members[i].info;
        bool for_roles = info->state == CW_MEMBER_ALIVE && !info->leaving;
        if (for_roles || (filter == CW_MEMBERS_ALL && info->state != CW_MEMBER_DEAD)) {
            out[n++] = info->id;
        }
    }
    return n;
}

uint64_t cw_members_changes(const cw_members_t* m) {
    return m->changes;
}

void cw_members_announce(cw_members_t* m, int64_t revision, uint32_t room) {
    m->forward_due = m->forward_due || revision > m->revision; /* a new revision is told at once, like news */
    m->revision = revision;
    m->room = room;
}

/* -- sending -------------------------------------------------------------- */

/* Adds the items of news told least so far. */
static void _cw_members_fill_news(cw_members_t* m, cw_gossip_t* g) {
    for (uint32_t looked = 0; looked < m->count && g->news_count < CW_GOSSIP_NEWS; looked++) {
        m->news_next = (m->news_next + 1) % m->count;
        cw_member_t* member = &m->members[m->news_next];
        if (member->tell && m->news_next != 0) {
            member->tell--;
            g->news[g->news_count++] = member->info;
        }
    }
}

/* What two hosts must agree on. */
static uint64_t _cw_members_version(const cw_member_info_t* info) {
    return info->incarnation * 4 + (info->state == CW_MEMBER_SUSPECT ? 2U : 0U) + (info->leaving ? 1U : 0U);
}

/* Hash of who is taken to be alive; the same for two hosts that agree. */
static uint64_t _cw_members_view(cw_members_t* m) {
    if (m->view && m->view_changes == m->changes) {
        return m->view;
    }
    m->view = 1;
    m->view_changes = m->changes;
    for (uint32_t i = 0; i < m->count; i++) {
        const cw_member_info_t* info = &m->members[i].info;
        if (info->state != CW_MEMBER_DEAD) {
            m->view ^= cw_mix(info->id, _cw_members_version(info));
        }
    }
    return m->view;
}

/* Summary of the same members, in so many buckets. */
static void _cw_members_summarize(const cw_members_t* m, uint32_t buckets, cw_summary_t* out) {
    *out = (cw_summary_t){.buckets = buckets};
    for (uint32_t i = 0; i < m->count; i++) {
        const cw_member_info_t* info = &m->members[i].info;
        if (info->state != CW_MEMBER_DEAD) {
            cw_summary_add(out, info->id, _cw_members_version(info));
        }
    }
}

static cw_gossip_t* _cw_members_send(cw_members_t* m, const char* to, cw_gossip_kind_t kind, uint32_t seq) {
    if (m->out_count == _CW_MEMBERS_OUT) {
        m->out_head = (m->out_head + 1) % _CW_MEMBERS_OUT;
        m->out_count--;
    }
    cw_gossip_out_t* out = &m->out[(m->out_head + m->out_count++) % _CW_MEMBERS_OUT];
    memset(out, 0, sizeof(*out));
    cw_copy(out->to, sizeof(out->to), to);
    out->message.kind = kind;
    out->message.seq = seq;
    out->message.revision = m->revision;
    out->message.room = m->room;
    out->message.view = _cw_members_view(m);
    out->message.from = m->members[0].info;
    if (kind != CW_GOSSIP_NEWS_ONLY) {
        _cw_members_fill_news(m, &out->message);
    }
    return &out->message;
}

bool cw_members_next(cw_members_t* m, cw_gossip_out_t* out) {
    if (!m->out_count) {
        return false;
    }
    *out = m->out[m->out_head];
    m->out_head = (m->out_head + 1) % _CW_MEMBERS_OUT;
    m->out_count--;
    return true;
}

/* Messages that an answer may take: fewer, the more was spent on others lately. */
static uint32_t _cw_members_may_answer(cw_members_t* m, int64_t now_ms) {
    if (now_ms - m->answers_ms >= _CW_MEMBERS_ANSWERS_MS) {
        m->answers_ms = now_ms;
        m->answers = 0;
    }
    uint32_t left = m->answers < _CW_MEMBERS_ANSWERS ? _CW_MEMBERS_ANSWERS - m->answers : 0;
    return (left + _CW_MEMBERS_ANSWER_PARTS - 1) / _CW_MEMBERS_ANSWER_PARTS;
}

/* Sends some of what is known and differs from the other host's summary, or of all where it gave none. The asker comes
   again for the rest, and asks somebody else: a seed that told each of hundreds all it knows would reach only a few. */
static void _cw_members_answer(cw_members_t* m, int64_t now_ms, const char* to, const cw_summary_t* theirs) {
    cw_gossip_t* g = NULL;
    cw_summary_t mine;
    uint32_t messages = _cw_members_may_answer(m, now_ms);
    uint32_t start = (uint32_t)(_cw_members_random(m) % m->count);
    if (theirs->buckets) {
        _cw_members_summarize(m, theirs->buckets, &mine);
    }
    for (uint32_t k = 0; k < m->count; k++) {
        uint32_t i = (start + k) % m->count;
        const cw_member_info_t* info = &m->members[i].info;
        if (!i || info->state == CW_MEMBER_DEAD || (theirs->buckets && !cw_summary_differs(&mine, theirs, info->id))) {
            continue;
        }
        if (!g || g->news_count == CW_GOSSIP_NEWS) {
            if (!messages--) {
                return;
            }
            m->answers++;
            g = _cw_members_send(m, to, CW_GOSSIP_NEWS_ONLY, 0);
        }
        g->news[g->news_count++] = *info;
    }
}

/* -- news ----------------------------------------------------------------- */

static bool _cw_members_supersedes(const cw_member_info_t* news, const cw_member_info_t* known) {
    if (news->incarnation != known->incarnation) {
        return news->incarnation > known->incarnation;
    }
    return news->state > known->state || (news->leaving && !known->leaving);
}

/* News about this host itself: refute it, or take over the higher incarnation of an earlier life. */
static void _cw_members_about_self(cw_members_t* m, const cw_member_info_t* news) {
    cw_member_info_t* self = &m->members[0].info;
    bool wrong = news->state != CW_MEMBER_ALIVE || news->leaving != self->leaving;
    if (news->incarnation > self->incarnation || (news->incarnation == self->incarnation && wrong)) {
        self->incarnation = news->incarnation + 1;
        m->members[0].tell = _cw_members_tell(m);
        m->forward_due = true;
        m->changes++;
    }
}

static void _cw_members_learn(cw_members_t* m, int64_t now_ms, const cw_member_info_t* news) {
    if (!news->id || !news->peer[0]) {
        return;
    }
    if (news->id == m->members[0].info.id) {
        _cw_members_about_self(m, news);
        return;
    }
    uint32_t i = cw_map_get(&m->by_id, news->id);
    if (i == CW_MAP_NONE) {
        if (m->count == m->desc.max_members || news->state == CW_MEMBER_DEAD) {
            return;
        }
        i = m->count++;
        m->grown_ms = now_ms;
        m->members[i] = (cw_member_t){.info = *news};
        cw_map_put(&m->by_id, news->id, i);
    } else if (!_cw_members_supersedes(news, &m->members[i].info)) {
        return;
    } else {
        bool was_leaving = m->members[i].info.leaving && m->members[i].info.incarnation == news->incarnation;
        m->members[i].info = *news;
        m->members[i].info.leaving = news->leaving || was_leaving;
        m->members[i].refused = m->members[i].refused && news->state != CW_MEMBER_ALIVE;
    }
    m->members[i].since_ms = now_ms;
    m->members[i].tell = _cw_members_tell(m);
    m->forward_due = true;
    m->changes++;
}

/* Changes a member's state by this host's own judgement. */
static void _cw_members_judge(cw_members_t* m, int64_t now_ms, uint32_t i, cw_member_state_t state) {
    cw_member_info_t news = m->members[i].info;
    news.state = state;
    _cw_members_learn(m, now_ms, &news);
}

static void _cw_members_remove(cw_members_t* m, uint32_t i) {
    cw_map_remove(&m->by_id, m->members[i].info.id);
    m->members[i] = m->members[--m->count];
    if (i < m->count) {
        cw_map_put(&m->by_id, m->members[i].info.id, i);
    }
    m->order_pos = m->order_count = 0;
    m->news_next = 0;
}

/* Passes fresh news to a few hosts at once; each that learns something does the same. */
static void _cw_members_forward(cw_members_t* m) {
    m->forward_due = false;
    for (uint32_t k = 0; k < m->desc.indirect && m->count > 1; k++) {
        uint32_t i = 1 + (uint32_t)(_cw_members_random(m) % (m->count - 1));
        if (m->members[i].info.state != CW_MEMBER_DEAD) {
            _cw_members_fill_news(m, _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_NEWS_ONLY, 0));
        }
    }
}

static void _cw_members_forward_if_due(cw_members_t* m, int64_t now_ms) {
    if (m->forward_due && now_ms >= m->next_forward_ms) {
        m->next_forward_ms = now_ms + _CW_MEMBERS_FORWARD_MS;
        _cw_members_forward(m);
    }
}

void cw_members_leave(cw_members_t* m) {
    m->members[0].info.leaving = true;
    m->members[0].info.incarnation++;
    m->changes++;
    _cw_members_forward(m);
}

/* -- probing -------------------------------------------------------------- */

static uint32_t _cw_members_timeout(const cw_members_t* m) {
    return m->desc.timeout_ms * (m->health + 1);
}

void cw_members_suspect(cw_members_t* m, int64_t now_ms, uint64_t id) {
    uint32_t i = cw_map_get(&m->by_id, id);
    if (i != CW_MAP_NONE && i != 0 && m->members[i].info.state == CW_MEMBER_ALIVE) {
        _cw_members_judge(m, now_ms, i, CW_MEMBER_SUSPECT);
        m->members[i].refused = true;
        _cw_members_forward(m);
    }
}

/* Next member to probe, in an order shuffled anew for each round. */
static uint32_t _cw_members_pick(cw_members_t* m) {
    for (uint32_t tries = 0; tries <= m->count; tries++) {
        if (m->order_pos >= m->order_count) {
            m->order_count = m->count - 1;
            m->order_pos = 0;
            for (uint32_t i = 0; i < m->order_count; i++) {
                uint32_t j = (uint32_t)(_cw_members_random(m) % (i + 1));
                m->order[i] = m->order[j];
                m->order[j] = i + 1;
            }
        }
        if (!m->order_count) {
            return 0;
        }
        uint32_t i = m->order[m->order_pos++];
        if (m->members[i].info.state != CW_MEMBER_DEAD) {
            return i;
        }
    }
    return 0;
}

static void _cw_members_probe(cw_members_t* m, int64_t now_ms, uint32_t i) {
    m->probe_seq = ++m->seq;
    m->probe_id = m->members[i].info.id;
    m->probe_ms = now_ms;
    m->probe_indirect = false;
    _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_PING, m->probe_seq);
}

static void _cw_members_probe_next(cw_members_t* m, int64_t now_ms) {
    uint32_t i = _cw_members_pick(m);
    if (i) {
        _cw_members_probe(m, now_ms, i);
    }
}

void cw_members_doubt(cw_members_t* m, int64_t now_ms, uint64_t id) {
    uint32_t i = cw_map_get(&m->by_id, id);
    if (i != CW_MAP_NONE && i != 0 && !m->probe_seq && m->members[i].info.state == CW_MEMBER_ALIVE) {
        _cw_members_probe(m, now_ms, i);
        m->next_probe_ms = now_ms + m->desc.period_ms;
    }
}

static void _cw_members_ask_others(cw_members_t* m) {
    m->probe_indirect = true;
    for (uint32_t k = 0, tries = 0; k < m->desc.indirect && tries < 4 * m->desc.indirect && m->count > 2; tries++) {
        uint32_t i = 1 + (uint32_t)(_cw_members_random(m) % (m->count - 1));
        if (m->members[i].info.state == CW_MEMBER_ALIVE && m->members[i].info.id != m->probe_id) {
            cw_gossip_t* g = _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_PING_REQ, m->probe_seq);
            g->target = m->probe_id;
            k++;
        }
    }
}

static void _cw_members_probe_failed(cw_members_t* m, int64_t now_ms) {
    uint32_t i = cw_map_get(&m->by_id, m->probe_id);
    m->probe_seq = 0;
    m->health += m->health < _CW_MEMBERS_HEALTH_MAX ? 1 : 0;
    if (i != CW_MAP_NONE && m->members[i].info.state == CW_MEMBER_ALIVE) {
        _cw_members_judge(m, now_ms, i, CW_MEMBER_SUSPECT);
    }
}

/* The news of its death must reach a host and its refutation all others, which takes longer among many. */
static int64_t _cw_members_suspect_ms(const cw_members_t* m) {
    uint32_t log2 = 0;
    for (uint32_t n = m->count; n > 1; n /= 2) {
        log2++;
    }
    return (int64_t)m->desc.suspect_ms * (4 + log2) / 4 * (2 + m->health) / 2;
}

/* Pings a host with what is said of it, so that it refutes it. */
static cw_gossip_t* _cw_members_ping_about(cw_members_t* m, const cw_member_info_t* info) {
    cw_gossip_t* g = _cw_members_send(m, info->peer, CW_GOSSIP_PING, ++m->seq);
    g->news[0] = *info;
    g->news_count = g->news_count ? g->news_count : 1;
    return g;
}

/* Asks a host for what it knows otherwise. One that still learns of new hosts asks again soon. */
static void _cw_members_compare(cw_members_t* m, int64_t now_ms) {
    uint32_t i = m->count > 1 ? 1 + (uint32_t)(_cw_members_random(m) % (m->count - 1)) : 0;
    if (!m->differs || now_ms < m->next_compare_ms || !i || m->members[i].info.state == CW_MEMBER_DEAD) {
        return;
    }
    bool grows = now_ms - m->grown_ms < _CW_MEMBERS_GROWN_MS;
    m->next_compare_ms = now_ms + (grows ? _CW_MEMBERS_GROWING_MS : _CW_MEMBERS_COMPARE_MS);
    m->differs = false;
    cw_gossip_t* g = _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_PING, ++m->seq);
    _cw_members_summarize(m, cw_summary_buckets(m->count), &g->summary);
}

/* Pings the suspects with what is said of them. */
static void _cw_members_accuse(cw_members_t* m, int64_t now_ms) {
    if (now_ms < m->next_accuse_ms) {
        return;
    }
    m->next_accuse_ms = now_ms + _CW_MEMBERS_ACCUSE_MS;
    uint32_t left = m->desc.indirect;
    uint32_t start = (uint32_t)(_cw_members_random(m) % m->count);
    for (uint32_t k = 0; k < m->count && left; k++) {
        const cw_member_info_t* info = &m->members[(start + k) % m->count].info;
        if (info->state == CW_MEMBER_SUSPECT) {
            _cw_members_ping_about(m, info);
            left--;
        }
    }
}

static void _cw_members_age(cw_members_t* m, int64_t now_ms) {
    for (uint32_t i = m->count; i-- > 1;) {
        cw_member_t* member = &m->members[i];
        int64_t age = now_ms - member->since_ms;
        if (member->info.state == CW_MEMBER_SUSPECT && age > _cw_members_suspect_ms(m)) {
            _cw_members_judge(m, now_ms, i, CW_MEMBER_DEAD);
        } else if (member->info.state == CW_MEMBER_DEAD && age > m->desc.forget_ms) {
            _cw_members_remove(m, i);
        }
    }
}

static bool _cw_members_knows_address(const cw_members_t* m, const char* address) {
    for (uint32_t i = 0; i < m->count; i++) {
        if (strcmp(m->members[i].info.peer, address) == 0 && m->members[i].info.state != CW_MEMBER_DEAD) {
            return true;
        }
    }
    return false;
}

/* Tries one contact that is no live member, and one dead member: so healed partitions find each other. */
static void _cw_members_retry(cw_members_t* m) {
    for (uint32_t k = 0; k < m->contact_count; k++) {
        const char* address = m->contacts[m->contact_next++ % m->contact_count].address;
        if (!_cw_members_knows_address(m, address)) {
            _cw_members_send(m, address, CW_GOSSIP_PING, ++m->seq)->join = true;
            break;
        }
    }
    uint32_t start = m->count > 1 ? (uint32_t)(_cw_members_random(m) % m->count) : 0;
    for (uint32_t k = 0; k < m->count; k++) {
        const cw_member_info_t* info = &m->members[(start + k) % m->count].info;
        if (info->state == CW_MEMBER_DEAD) {
            _cw_members_ping_about(m, info)->join = true;
            break;
        }
    }
}

void cw_members_contact(cw_members_t* m, const char* address) {
    for (uint32_t i = 0; i < m->contact_count; i++) {
        if (strcmp(m->contacts[i].address, address) == 0) {
            return;
        }
    }
    if (m->contact_count < m->desc.max_contacts && strcmp(address, m->members[0].info.peer) != 0) {
        cw_copy(m->contacts[m->contact_count++].address, CW_MEMBER_ADDRESS_MAX, address);
        _cw_members_send(m, address, CW_GOSSIP_PING, ++m->seq)->join = true;
    }
}

/* After a pause nothing that was pending can be judged. */
static void _cw_members_woke(cw_members_t* m, int64_t now_ms, int64_t gap_ms) {
    m->probe_seq = 0;
    m->next_probe_ms = now_ms;
    for (uint32_t i = 1; i < m->count; i++) {
        if (m->members[i].info.state == CW_MEMBER_SUSPECT) {
            m->members[i].since_ms += gap_ms;
        }
    }
}

void cw_members_tick(cw_members_t* m, int64_t now_ms) {
    int64_t gap_ms = m->last_tick_ms ? now_ms - m->last_tick_ms : 0;
    if (gap_ms > m->desc.period_ms) {
        _cw_members_woke(m, now_ms, gap_ms);
    }
    m->last_tick_ms = now_ms;
    if (m->probe_seq && !m->probe_indirect && now_ms - m->probe_ms >= _cw_members_timeout(m)) {
        _cw_members_ask_others(m);
    }
    if (now_ms >= m->next_probe_ms) {
        if (m->probe_seq) {
            _cw_members_probe_failed(m, now_ms);
        }
        _cw_members_probe_next(m, now_ms);
        uint32_t period =
            m->desc.period_ms > 2 * _cw_members_timeout(m) ? m->desc.period_ms : 2 * _cw_members_timeout(m);
        m->next_probe_ms = now_ms + period;
    }
    if (now_ms >= m->next_retry_ms) {
        _cw_members_retry(m);
        /* Spread: hosts that start in the same moment would else come to their seed in the same one again and again. */
        m->next_retry_ms = now_ms + m->desc.retry_ms / 2 + (int64_t)(_cw_members_random(m) % m->desc.retry_ms);
    }
    _cw_members_age(m, now_ms);
    _cw_members_accuse(m, now_ms);
    _cw_members_compare(m, now_ms);
    _cw_members_forward_if_due(m, now_ms);
}

/* -- receiving ------------------------------------------------------------ */

static void _cw_members_acked(cw_members_t* m, const cw_gossip_t* g) {
    if (m->probe_seq && g->seq == m->probe_seq) {
        m->probe_seq = 0;
        m->health -= m->health ? 1 : 0;
        return;
    }
    for (uint32_t i = 0; i < _CW_MEMBERS_HELPED; i++) {
        _cw_helped_t* h = &m->helped[i];
        if (h->seq && h->seq == g->seq) {
            _cw_members_send(m, h->origin, CW_GOSSIP_ACK, h->origin_seq)->target = g->from.id;
            h->seq = 0;
        }
    }
}

static void _cw_members_help(cw_members_t* m, const cw_gossip_t* g) {
    const cw_member_t* target = cw_members_find(m, g->target);
    if (!target) {
        return;
    }
    _cw_helped_t* h = &m->helped[m->helped_next++ % _CW_MEMBERS_HELPED];
    h->seq = ++m->seq;
    h->origin_seq = g->seq;
    cw_copy(h->origin, sizeof(h->origin), g->from.peer);
    _cw_members_send(m, target->info.peer, CW_GOSSIP_PING, h->seq);
}

void cw_members_receive(cw_members_t* m, int64_t now_ms, const cw_gossip_t* g) {
    _cw_members_learn(m, now_ms, &g->from);
    for (uint32_t i = 0; i < g->news_count; i++) {
        _cw_members_learn(m, now_ms, &g->news[i]);
    }
    uint32_t i = cw_map_get(&m->by_id, g->from.id);
    if (i != CW_MAP_NONE && i != 0) {
        m->members[i].heard_ms = now_ms;
        m->members[i].revision = g->revision;
        m->members[i].room = g->room;
    }
    bool tells_view = g->kind == CW_GOSSIP_PING || g->kind == CW_GOSSIP_ACK;
    m->differs = m->differs || (tells_view && g->view != _cw_members_view(m));
    if (g->kind == CW_GOSSIP_PING) {
        cw_gossip_t* ack = _cw_members_send(m, g->from.peer, CW_GOSSIP_ACK, g->seq);
        if (i != CW_MAP_NONE && m->members[i].info.state != CW_MEMBER_ALIVE && ack->news_count < CW_GOSSIP_NEWS) {
            ack->news[ack->news_count++] = m->members[i].info; /* it is alive: let it refute */
        }
        if (g->join || g->summary.buckets) {
            _cw_members_answer(m, now_ms, g->from.peer, &g->summary);
        }
    } else if (g->kind == CW_GOSSIP_ACK) {
        _cw_members_acked(m, g);
    } else if (g->kind == CW_GOSSIP_PING_REQ) {
        _cw_members_help(m, g);
    }
    _cw_members_forward_if_due(m, now_ms);
}

#endif /* CHALKWAY_MEMBER_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
