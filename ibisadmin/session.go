package ibisadmin

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/apex/log"

	"ibiscrank/ibisconfig"
)

const (
	cookieName = "ibiscrank_operator"
	// sessionSeconds is how long the browser keeps the cookie with the operator's key.
	sessionSeconds = 12 * 3600
)

// withSession calls show for a logged-in operator, with the fields of p that all pages share, and redirects
// everyone else to the login page.
func (a *Admin) withSession(show func(w http.ResponseWriter, r *http.Request, p page)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := r.Cookie(cookieName)
		if err != nil {
			http.Redirect(w, r, "/ops/login", http.StatusSeeOther)
			return
		}
		operator, ok := a.Config.Snapshot().Operator(c.Value)
		if !ok {
			a.clearCookie(w)
			http.Redirect(w, r, "/ops/login", http.StatusSeeOther)
			return
		}
		show(w, r, page{Daemon: a.Daemon, Operator: operator, Token: formToken(c.Value), key: ibisconfig.HashKey(c.Value), At: a.Now()})
	}
}

// formToken returns the token that proves that a form was rendered for the operator with that key.
func formToken(key string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte("ibiscrank form"))
	return hex.EncodeToString(mac.Sum(nil))
}

func (a *Admin) loginForm(w http.ResponseWriter, _ *http.Request) {
	a.render(w, http.StatusOK, "login.html", page{Title: "Log in", Daemon: a.Daemon, At: a.Now(), Body: ""})
}

func (a *Admin) login(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	key := strings.TrimSpace(r.PostFormValue("key"))
	operator, ok := a.Config.Snapshot().Operator(key)
	if !ok {
		a.render(w, http.StatusUnauthorized, "login.html", page{Title: "Log in", Daemon: a.Daemon, At: a.Now(), Body: "This key is not in force."})
		return
	}
	log.WithFields(log.Fields{"operator": operator}).Info("OperatorLogin")
	// Set by a load balancer that terminates TLS. Trusting the header can only make the cookie stricter.
	secure := r.TLS != nil || r.Header.Get("X-Forwarded-Proto") == "https"
	a.setCookie(w, key, sessionSeconds, secure)
	http.Redirect(w, r, "/ops", http.StatusSeeOther)
}

func (a *Admin) logout(w http.ResponseWriter, r *http.Request) {
	a.clearCookie(w)
	http.Redirect(w, r, "/ops/login", http.StatusSeeOther)
}

func (a *Admin) clearCookie(w http.ResponseWriter) { a.setCookie(w, "", -1, false) }

func (a *Admin) setCookie(w http.ResponseWriter, value string, maxAge int, secure bool) {
	http.SetCookie(w, &http.Cookie{
		Name: cookieName, Value: value, Path: "/ops", MaxAge: maxAge,
		HttpOnly: true, Secure: secure, SameSite: http.SameSiteStrictMode,
	})
}
