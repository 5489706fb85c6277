// Package deploy tests that the product can be built on the machines where it is
// deployed.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// root is the root directory of the source tree.
const root = "../.."

// deploySetting returns the value of one line of the deploy file.
func deploySetting(name string) string {
	file, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	So(err, ShouldBeNil)
	found := regexp.MustCompile(`(?m)^` + name + ` = (.*)$`).FindSubmatch(file)
	So(found, ShouldNotBeNil)
	return string(found[1])
}

// goDirectory returns the directory of the Go command of this toolchain.
func goDirectory() string {
	output, err := exec.Command("go", "env", "GOROOT").Output()
	So(err, ShouldBeNil)
	return filepath.Join(strings.TrimSpace(string(output)), "bin")
}

var dependencySeparator = regexp.MustCompile(`[,|]`)

// withDependencies returns the installed ones of packages with all their installed
// dependencies.
func withDependencies(packages []string) map[string]bool {
	all := map[string]bool{}
	for len(packages) > 0 {
		name := packages[0]
		packages = packages[1:]
		if all[name] {
			continue
		}
		depends, err := exec.Command("dpkg-query", "-W", "-f", "${Pre-Depends},${Depends}", name).Output()
		if err != nil {
			continue
		}
		all[name] = true
		for _, dependency := range dependencySeparator.Split(string(depends), -1) {
			if fields := strings.Fields(dependency); len(fields) > 0 {
				packages = append(packages, strings.SplitN(fields[0], ":", 2)[0])
			}
		}
	}
	return all
}

// linkPrograms creates symbolic links to the programs of packages, and to nothing
// else, in a directory.
func linkPrograms(packages map[string]bool, directory string) {
	for name := range packages {
		files, err := exec.Command("dpkg-query", "-L", name).Output()
		if err != nil {
			continue
		}
		for _, path := range strings.Fields(string(files)) {
			program := strings.HasPrefix(path, "/usr/bin/") || strings.HasPrefix(path, "/bin/")
			if info, err := os.Stat(path); !program || err != nil || info.IsDir() {
				continue
			}
			_ = os.Symlink(path, filepath.Join(directory, filepath.Base(path)))
		}
	}
}

// buildWith runs the build command of the deploy file with an empty build cache. Only
// the programs of Go and of packages are available to the command.
func buildWith(t *testing.T, packages []string) error {
	programs, target, cache := t.TempDir(), t.TempDir(), t.TempDir()
	linkPrograms(withDependencies(packages), programs)
	command := strings.ReplaceAll(strings.Trim(deploySetting("build"), `"`), "target/", target+"/")
	build := exec.Command("/bin/sh", "-c", command)
	build.Dir = root
	build.Env = []string{
		"PATH=" + goDirectory() + ":" + programs, "HOME=" + os.Getenv("HOME"),
		"GOCACHE=" + cache, "GOFLAGS=-buildvcs=false",
	}
	for _, name := range []string{"GOPROXY", "GOMODCACHE", "GOPATH", "GONOSUMDB", "GONOSUMCHECK", "GOSUMDB"} {
		if value, given := os.LookupEnv(name); given {
			build.Env = append(build.Env, name+"="+value)
		}
	}
	output, err := build.CombinedOutput()
	if err != nil {
		t.Log(string(output))
		return err
	}
	for _, name := range []string{"tansyseam-proxy", "tansyseam-control"} {
		_, err := os.Stat(filepath.Join(target, name))
		So(err, ShouldBeNil)
	}
	return nil
}

func TestBuildNeedsTheListedPackagesOnly(t *testing.T) {
	Convey("With an empty build cache, the build succeeds with only Go and the programs of the listed packages, and fails without those packages", t, func() {
		packages := regexp.MustCompile(`[a-z0-9.+-]+`).FindAllString(deploySetting("packages"), -1)
		So(packages, ShouldContain, "gcc")
		So(packages, ShouldContain, "libc6-dev")
		So(buildWith(t, packages), ShouldBeNil)
		So(buildWith(t, nil), ShouldNotBeNil)
	})
}
